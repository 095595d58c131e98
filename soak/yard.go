package main

import (
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

// Sizes of a deployment.
const (
	service      = "desk"
	serverSlots  = 4
	serverWork   = 20 * time.Millisecond
	serverStay   = 6 * time.Second
	restartAfter = 200 * time.Millisecond
	faultTail    = 2 * time.Second
	// What a cold server bears, and for how long: a fraction of what callers would send it.
	coldFor  = time.Second
	coldRate = 2
	// Bounds that the instances are set to, so low that a run without them breaks them.
	coldExcess = 1.5
	coldSlack  = 3
	retryRatio = 0.001
	retrySlack = 12

	// Routes that one large configuration adds, and how many there may be: 0.2 KB each.
	addedRoutes = 1500
	mostRoutes  = 4500
	// narrowRate is what a narrow link carries, in KB/s.
	narrowRate = 300

	requestHost   = "calls.example"
	lookUpPrefix  = "/look/"
	chargePrefix  = "/charge/"
	versionPrefix = "/v%d/"
)

var domains = []struct{ name, region string }{
	{"north-1", "north"}, {"south-1", "south"}, {"north-2", "north"}, {"south-2", "south"},
}

// yard is a deployment: a store, backend servers and entry instances, with proxies between.
type yard struct {
	check     *checker
	store     *fake.Store
	storeHTTP *http.Server
	instances []*instance
	proxies   map[string]*toxiproxy.Proxy
	faults    sync.WaitGroup

	mu      sync.Mutex
	servers []*backend
	count   int
	version uint64
	// routes is how many routes the configuration has besides those that callers use.
	routes   int
	accepted time.Time
	problems []string
	// without says that there are no client accounts.
	without bool
}

// backend is a backend server behind its proxy.
type backend struct {
	*fake.Server
	proxy *toxiproxy.Proxy
	gone  bool
	// constrained says that the server asks for less in its answers.
	constrained bool
}

func newYard(p programs, out string, instances, servers int, check *checker) (*yard, error) {
	y := &yard{check: check, store: fake.NewStore(), proxies: make(map[string]*toxiproxy.Proxy), without: p.before != p.now}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	y.storeHTTP = &http.Server{Handler: y.store}
	go func() { _ = y.storeHTTP.Serve(listener) }()
	y.configure()
	for n := range servers {
		if err := y.addServer(domains[n%len(domains)].name); err != nil {
			return y, err
		}
	}
	for n := range instances {
		proxy, err := newProxy(fmt.Sprint("store-", n), listener.Addr().String())
		if err != nil {
			return y, err
		}
		i := &instance{
			name: fmt.Sprint("entry-", n), domain: domains[n%len(domains)].name, region: domains[n%len(domains)].region,
			program: p.before, other: p.now, logPath: filepath.Join(out, fmt.Sprintf("entry-%d.log", n)), store: proxy.Listen, accounts: !y.without,
		}
		y.proxies[i.name] = proxy
		y.instances = append(y.instances, i)
		if err := i.start(y.seeds()); err != nil {
			return y, err
		}
		check.Name(i.place().caller, i.name)
	}
	return y, nil
}

func newProxy(name, upstream string) (*toxiproxy.Proxy, error) {
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = upstream
	return proxy, errors.Wrap(proxy.Start(), "proxy")
}

// seeds returns the peer addresses of the instances that have started.
func (y *yard) seeds() []string {
	var addresses []string
	for _, i := range y.instances {
		if p := i.place(); p.peers != "" && len(addresses) < 3 {
			addresses = append(addresses, p.peers)
		}
	}
	return addresses
}

// configure puts the next version of the configuration in force; each has a route of its own.
func (y *yard) configure() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.version += 2 + y.version%3
	parts := []lovageyard.ServiceWeight{{Service: service, Weight: 1}}
	route := func(name, prefix string, idempotent bool) lovageyard.Route {
		return lovageyard.Route{
			Name: name, Host: requestHost, Prefix: prefix, Idempotent: idempotent, Timeout: 2 * time.Second,
			Goal: 200 * time.Millisecond, Attempts: 2, Sticky: true, Parts: parts,
		}
	}
	routes := []lovageyard.Route{
		route("look", lookUpPrefix, true), route("charge", chargePrefix, false),
		route("version", fmt.Sprintf(versionPrefix, y.version), true),
	}
	for n := range y.routes {
		routes = append(routes, route(fmt.Sprint("more-", n), fmt.Sprintf("/more-%x/", xxhash.Sum64String(fmt.Sprint(n))), true))
	}
	y.store.PutConfiguration(lovageyard.Configuration{
		Version:      y.version,
		Routes:       routes,
		Services:     map[string]lovageyard.Service{service: {Name: service, HealthPath: "/health", MaxConnections: 400, ColdFor: coldFor, ColdRate: coldRate}},
		Accounts:     y.accounts(y.version),
		MaxBodyBytes: 1 << 20,
	})
	y.accepted = time.Now()
}

func (y *yard) versions() (uint64, time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.version, y.accepted
}

// addServer starts a server behind a proxy and registers it.
func (y *yard) addServer(domain string) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.count++
	described := lovageyard.BackendServer{
		Name: fmt.Sprint("i-", y.count), Service: service, FailureDomain: domain, Slots: serverSlots, State: lovageyard.StateLive,
	}
	if y.count%2 == 0 {
		// The others are older programs, which don't tell their start.
		described.Incarnation = time.Now().UnixMilli()
	}
	if len(y.instances) > 0 {
		// An instance that starts just then learns from the entry alone that the server is cold.
		described.ColdFor = lovageyard.Duration(coldFor)
	}
	server, err := fake.StartServer(described, serverWork, y.check)
	if err != nil {
		return err
	}
	proxy, err := newProxy(server.Name, server.Address)
	if err != nil {
		return err
	}
	server.Address = proxy.Listen
	y.check.Place(server.Name, domain)
	if len(y.instances) > 0 {
		y.check.Joined(server.Name)
	}
	y.store.PutServer(server.BackendServer)
	b := &backend{Server: server, proxy: proxy}
	y.makeFrail(b)
	y.servers = append(y.servers, b)
	return nil
}

// pick returns the server of a target that has not gone.
func (y *yard) pick(target int) *backend {
	y.mu.Lock()
	defer y.mu.Unlock()
	for n := range y.servers {
		if b := y.servers[(target+n)%len(y.servers)]; !b.gone {
			return b
		}
	}
	return y.servers[0]
}

// Close ends all that the yard started, by its process ids.
func (y *yard) Close() []string {
	y.faults.Wait()
	for _, i := range y.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGTERM)
	}
	for _, i := range y.instances {
		if i.ended == nil {
			continue
		}
		if err := i.await(); err != nil {
			y.problem(err)
		}
		y.problems = append(y.problems, i.faults...)
	}
	for _, b := range y.servers {
		b.proxy.Stop()
		b.Server.Close()
	}
	for _, p := range y.proxies {
		p.Stop()
	}
	y.store.Close()
	y.storeHTTP.Close()
	return y.problems
}
