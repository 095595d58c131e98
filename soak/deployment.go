package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// Sizes and timing of the deployment.
const (
	service         = "desk"
	serverSlots     = 4
	serverWork      = 20 * time.Millisecond
	serverLeaveTime = 6 * time.Second
	restartDelay    = 200 * time.Millisecond
	impactTail      = 2 * time.Second
	// drainWithin is the instances' setting, and minDrainTime the shortest time for which a failure domain is drained
	// or an entry overwritten.
	drainWithin  = 2 * time.Second
	minDrainTime = 4 * time.Second
	// Warm-up of a cold server: its duration, and the rate in requests a second, a fraction of what callers
	// would send.
	coldFor  = time.Second
	coldRate = 2
	// Limits in the instances' settings, so low that an instance which ignores them exceeds them in every run.
	coldExcess = 1.5
	coldSlack  = 3
	retryRatio = 0.001
	retrySlack = 12

	// defaultAttempts is the number of attempts of a request at servers.
	defaultAttempts = 2

	// Number of routes that a large configuration adds, and its maximum; a route takes 0.2 KB.
	routesPerChange = 1500
	maxExtraRoutes  = 4500
	// narrowLinkRate is the bandwidth of a narrow link, in KB/s.
	narrowLinkRate = 300

	requestHost   = "calls.example"
	lookUpPrefix  = "/look/"
	chargePrefix  = "/charge/"
	versionPrefix = "/v%d/"
)

var domains = []struct{ name, region string }{
	{"north-1", "north"}, {"south-1", "south"}, {"north-2", "north"}, {"south-2", "south"},
}

// deployment is a store, backend servers and entry instances, connected through proxies.
type deployment struct {
	check         *checker
	store         *fake.Store
	storeHTTP     *http.Server
	instances     []*instance
	proxies       map[string]*toxiproxy.Proxy
	runningFaults sync.WaitGroup

	mu          sync.Mutex
	servers     []*backend
	serverCount int
	version     uint64
	// extraRoutes is the number of routes of the configuration that no caller uses.
	extraRoutes int
	acceptedAt  time.Time
	// overwritten holds the servers whose entries another program has overwritten.
	overwritten   map[string]bool
	harnessErrors []string
	// withoutAccounts disables client accounts, which an older version of the daemon may not support.
	withoutAccounts bool
	// heavy enables routes with large bodies.
	heavy bool
	// attempts is the number of attempts of a request at servers.
	attempts int
}

// backend is a backend server behind its proxy. unavailable is set while it is down, leaving or not
// registered.
type backend struct {
	*fake.Server
	proxy       *toxiproxy.Proxy
	unavailable bool
	// hasBackpressure is set while the server signals backpressure in its answers.
	hasBackpressure bool
}

// newDeployment starts a deployment. The instances run the previous version if there are two. On an error
// it may return a partial deployment, which the caller must close.
func newDeployment(p programs, out string, o options, check *checker) (*deployment, error) {
	d := &deployment{
		check: check, store: fake.NewStore(), proxies: make(map[string]*toxiproxy.Proxy), overwritten: make(map[string]bool),
		withoutAccounts: p.previous != p.current || o.Refusals, heavy: o.Heavy, attempts: cmp.Or(o.Attempts, defaultAttempts),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeHTTP = &http.Server{Handler: d.store}
	go func() { _ = d.storeHTTP.Serve(listener) }()
	d.configure()
	for n := range o.Servers {
		if err := d.addServer(domains[n%len(domains)].name); err != nil {
			return d, err
		}
	}
	for n := range o.Instances {
		proxy, err := newProxy(fmt.Sprint("store-", n), listener.Addr().String())
		if err != nil {
			return d, err
		}
		i := &instance{
			name: fmt.Sprint("entry-", n), domain: domains[n%len(domains)].name, region: domains[n%len(domains)].region,
			program: p.previous, otherProgram: p.current, logPath: filepath.Join(out, fmt.Sprintf("entry-%d.log", n)), store: proxy.Listen, accounts: !d.withoutAccounts,
		}
		if d.heavy {
			i.settings = heavySettings(n)
		}
		if o.Refusals {
			i.settings = refusalSettings
		}
		d.proxies[i.name] = proxy
		d.instances = append(d.instances, i)
		if err := i.start(d.joinAddresses()); err != nil {
			return d, err
		}
		check.RegisterInstance(i.endpoints().caller, i.name, i.region)
	}
	return d, nil
}

func newProxy(name, upstream string) (*toxiproxy.Proxy, error) {
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = upstream
	return proxy, errors.Wrap(proxy.Start(), "proxy")
}

// joinAddresses returns up to three peer addresses of started instances, through which a new one joins.
func (d *deployment) joinAddresses() []string {
	var addresses []string
	for _, i := range d.instances {
		if p := i.endpoints(); p.peers != "" && len(addresses) < 3 {
			addresses = append(addresses, p.peers)
		}
	}
	return addresses
}

// configure writes the next version of the configuration, which has a route of its own for probes.
func (d *deployment) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 2 + d.version%3
	parts := []lovageyard.ServiceWeight{{Service: service, Weight: 1}}
	route := func(name, prefix string, idempotent bool) lovageyard.Route {
		return lovageyard.Route{
			Name: name, Host: requestHost, Prefix: prefix, Idempotent: idempotent, Timeout: 2 * time.Second,
			Goal: 200 * time.Millisecond, Attempts: d.attempts, Sticky: true, Parts: parts,
		}
	}
	routes := []lovageyard.Route{
		route("look", lookUpPrefix, true), route("charge", chargePrefix, false),
		route("version", fmt.Sprintf(versionPrefix, d.version), true),
	}
	if d.heavy {
		routes = append(routes, heavyRoutes(route)...)
	}
	for n := range d.extraRoutes {
		routes = append(routes, route(fmt.Sprint("more-", n), fmt.Sprintf("/more-%x/", xxhash.Sum64String(fmt.Sprint(n))), true))
	}
	d.store.PutConfiguration(lovageyard.Configuration{
		Version:      d.version,
		Routes:       routes,
		Services:     map[string]lovageyard.Service{service: {Name: service, HealthPath: "/health", MaxConnections: 400, ColdFor: coldFor, ColdRate: coldRate}},
		Accounts:     d.accounts(d.version),
		MaxBodyBytes: 1 << 20,
	})
	d.acceptedAt = time.Now()
}

// currentVersion returns the newest version of the configuration and the time when the store accepted it.
func (d *deployment) currentVersion() (uint64, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.acceptedAt
}

// addServer starts a server behind a proxy and registers it in the store.
func (d *deployment) addServer(domain string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serverCount++
	entry := lovageyard.BackendServer{
		Name: fmt.Sprint("i-", d.serverCount), Service: service, FailureDomain: domain, Slots: serverSlots, State: lovageyard.StateLive,
	}
	if d.serverCount%2 == 0 {
		// The other servers act as older programs, which don't report their incarnation.
		entry.Incarnation = time.Now().UnixMilli()
	}
	if len(d.instances) > 0 {
		// An instance that starts now can learn only from the server's entry that it is cold.
		entry.ColdFor = lovageyard.Duration(coldFor)
	}
	server, err := fake.StartServer(entry, serverWork, d.check)
	if err != nil {
		return err
	}
	proxy, err := newProxy(server.Name, server.Address)
	if err != nil {
		return err
	}
	server.Address = proxy.Listen
	d.check.SetFailureDomain(server.Name, domain)
	if len(d.instances) > 0 {
		d.check.RecordServerStart(server.Name)
	}
	d.store.PutServer(server.BackendServer)
	b := &backend{Server: server, proxy: proxy}
	d.makeCrashable(b)
	d.servers = append(d.servers, b)
	return nil
}

// pickServer returns the first available server at or after a target's index, or the first of all if none is
// available.
func (d *deployment) pickServer(target int) *backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n := range d.servers {
		if b := d.servers[(target+n)%len(d.servers)]; !b.unavailable {
			return b
		}
	}
	return d.servers[0]
}

// Close stops all processes, servers and proxies of the deployment and returns the harness errors.
func (d *deployment) Close() []string {
	d.runningFaults.Wait()
	for _, i := range d.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGTERM)
	}
	for _, i := range d.instances {
		if i.exited == nil {
			continue
		}
		if err := i.waitExit(); err != nil {
			d.recordHarnessError(err)
		}
		d.harnessErrors = append(d.harnessErrors, i.unexpectedExits...)
	}
	for _, b := range d.servers {
		b.proxy.Stop()
		b.Server.Close()
	}
	for _, p := range d.proxies {
		p.Stop()
	}
	d.store.Close()
	d.storeHTTP.Close()
	return d.harnessErrors
}
