package main

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
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
}

// backend is a backend server behind its proxy.
type backend struct {
	*fake.Server
	proxy *toxiproxy.Proxy
	gone  bool
}

func newYard(program, out string, instances, servers int, check *checker) (*yard, error) {
	y := &yard{check: check, store: fake.NewStore(), proxies: make(map[string]*toxiproxy.Proxy)}
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
			program: program, logPath: filepath.Join(out, fmt.Sprintf("entry-%d.log", n)), store: proxy.Listen,
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
	parts := []lovageyard.Part{{Service: service, Weight: 1}}
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
		described.Life = time.Now().UnixMilli()
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
	y.servers = append(y.servers, &backend{Server: server, proxy: proxy})
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

// play begins one fault and ends it when its time is over.
func (y *yard) play(f fault) {
	began := time.Now()
	what := y.harmed(f)
	if !f.Kind.isPlanned() {
		y.check.Disturb(what, began, began.Add(f.For+faultTail))
	}
	y.check.Count(f.Kind)
	y.faults.Go(func() {
		if err := y.inject(f); err != nil {
			y.problem(err)
		}
		if late := time.Since(began) - f.For - faultTail; late > 0 && !f.Kind.isPlanned() {
			y.check.Disturb(what, began, time.Now())
		}
	})
}

// harmed says what a fault harms.
func (y *yard) harmed(f fault) string {
	switch f.Kind {
	case pauseInstance, killInstance, cutFromStore, narrowStore:
		return y.instances[f.Target%len(y.instances)].name
	case storeDown, storeSilent, storeSlow, storeLost, storeLate, storeForgets:
		return harmsStore
	}
	return harmsServers
}

func (y *yard) problem(err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.problems = append(y.problems, err.Error())
}

// inject plays a fault from its begin to its end.
func (y *yard) inject(f fault) error {
	i := y.instances[f.Target%len(y.instances)]
	switch f.Kind {
	case pauseInstance:
		i.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		i.signal(syscall.SIGCONT)
	case killInstance:
		i.signal(syscall.SIGKILL)
		return y.restart(i)
	case restartInstance:
		i.signal(syscall.SIGTERM)
		return y.restart(i)
	case storeDown, storeSilent, storeSlow, storeLost, storeLate:
		y.store.SetTrouble(storeTrouble(f.Kind))
		time.Sleep(f.For)
		y.store.SetTrouble(fake.Trouble{})
	case storeForgets:
		y.store.Forget()
	case cutFromStore:
		return y.toxic(y.proxies[i.name], f, `{"name":"fault","type":"timeout","attributes":{"timeout":0}}`)
	case delayServer:
		return y.toxic(y.pick(f.Target).proxy, f, `{"name":"fault","type":"latency","attributes":{"latency":150,"jitter":50}}`)
	case silenceServer:
		return y.toxic(y.pick(f.Target).proxy, f, `{"name":"fault","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
	case oneWayServer:
		return y.toxic(y.pick(f.Target).proxy, f, `{"name":"fault","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
	case resetServer:
		return y.reset(y.pick(f.Target).proxy)
	case spoilAnswers, loseAnswers, doubleAnswers, failRequests, shedRequests:
		b := y.pick(f.Target)
		b.SetFaults(serverFaults(f.Kind))
		time.Sleep(f.For)
		b.SetFaults(fake.Faults{})
	case crashServer:
		return y.crash(y.pick(f.Target), f.For)
	case replaceServer:
		return y.replace(y.pick(f.Target))
	case drainDomain:
		domain := domains[f.Target%len(domains)].name
		y.store.Drain(domain)
		y.check.Drained(domain, true)
		time.Sleep(f.For + leaveBound)
		y.check.Drained(domain, false)
		y.store.Undrain(domain)
	case configure:
		y.configure()
	case largeConfiguration:
		y.mu.Lock()
		y.routes = min(y.routes+addedRoutes, mostRoutes)
		y.mu.Unlock()
		y.configure()
	case narrowStore:
		return y.toxic(y.proxies[i.name], f, fmt.Sprintf(`{"name":"fault","type":"bandwidth","stream":"downstream","attributes":{"rate":%d}}`, narrowRate))
	case foreignEntry:
		return y.spoilEntry(y.pick(f.Target), f.For)
	case restartServer:
		return y.restartServer(y.pick(f.Target))
	case burst:
		// Callers look at the time of bursts themselves.
		time.Sleep(f.For)
	}
	return nil
}

// restart waits for the end of an instance's life and starts the next, unless another
// fault of a series has done so.
func (y *yard) restart(i *instance) error {
	err := i.await()
	time.Sleep(restartAfter)
	y.mu.Lock()
	defer y.mu.Unlock()
	select {
	case <-i.ended:
	default:
		return err
	}
	if again := i.start(y.seeds()); again != nil {
		return again
	}
	y.check.Name(i.place().caller, i.name)
	return err
}

func storeTrouble(k kind) fake.Trouble {
	switch k {
	case storeDown:
		return fake.Trouble{Status: http.StatusServiceUnavailable}
	case storeSilent:
		return fake.Trouble{Silent: true}
	case storeSlow:
		return fake.Trouble{Delay: 250 * time.Millisecond}
	case storeLost:
		return fake.Trouble{LoseWrites: true}
	}
	return fake.Trouble{Late: time.Second}
}

func serverFaults(k kind) fake.Faults {
	const share = 0.3
	switch k {
	case spoilAnswers:
		return fake.Faults{Spoil: share}
	case loseAnswers:
		return fake.Faults{Lose: share}
	case doubleAnswers:
		return fake.Faults{Extra: share}
	case shedRequests:
		return fake.Faults{Shed: share}
	}
	return fake.Faults{Fail: share}
}

// toxic harms a link for the time of a fault.
func (y *yard) toxic(proxy *toxiproxy.Proxy, f fault, description string) error {
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(description)); err != nil {
		// Another fault of a series harms the link already.
		return nil
	}
	time.Sleep(f.For)
	return proxy.Toxics.RemoveToxic("fault")
}

// reset cuts all connections of a link and takes new ones again.
func (y *yard) reset(proxy *toxiproxy.Proxy) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	proxy.Stop()
	return errors.Wrap(proxy.Start(), "proxy")
}

// crash ends a server without notice; its entry lapses later, and another one starts.
func (y *yard) crash(b *backend, lapse time.Duration) error {
	y.mu.Lock()
	if b.gone {
		y.mu.Unlock()
		return nil
	}
	b.gone = true
	y.mu.Unlock()
	b.Close()
	time.Sleep(lapse)
	y.store.RemoveServer(b.Name)
	return y.addServer(b.FailureDomain)
}

// foreignEntries are what another program may write in the place of a server's entry.
var foreignEntries = []any{
	"ready", 7, []string{}, map[string]any{}, map[string]any{"Addr": "127.0.0.1:1", "Status": map[string]any{"State": "ready"}},
}

// spoilEntry lets another program write a server's entry, and the server write it again.
func (y *yard) spoilEntry(b *backend, lasting time.Duration) error {
	y.mu.Lock()
	if b.gone {
		y.mu.Unlock()
		return nil
	}
	b.gone = true
	y.mu.Unlock()
	y.store.Put("servers", b.Name, foreignEntries[len(b.Name+b.Address)%len(foreignEntries)])
	y.check.Left(b.Name)
	time.Sleep(lasting + leaveBound)
	y.mu.Lock()
	defer y.mu.Unlock()
	y.check.Back(b.Name)
	y.store.PutServer(b.BackendServer)
	b.gone = false
	return nil
}

// restartServer ends a server and starts it again under its name, at another address.
func (y *yard) restartServer(b *backend) error {
	y.mu.Lock()
	if b.gone {
		y.mu.Unlock()
		return nil
	}
	b.gone = true
	y.mu.Unlock()
	b.Close()
	time.Sleep(restartAfter)
	y.mu.Lock()
	defer y.mu.Unlock()
	again := b.BackendServer
	again.Life = time.Now().UnixMilli()
	server, err := fake.StartServer(again, serverWork, y.check)
	if err != nil {
		return err
	}
	proxy, err := newProxy(server.Name, server.Address)
	if err != nil {
		return err
	}
	b.proxy.Stop()
	server.Address = proxy.Listen
	y.check.Joined(b.Name)
	y.store.PutServer(server.BackendServer)
	b.Server, b.proxy, b.gone = server, proxy, false
	return nil
}

// replace lets a server leave: it tells so, serves on, and ends; another one starts first.
func (y *yard) replace(b *backend) error {
	y.mu.Lock()
	if b.gone {
		y.mu.Unlock()
		return nil
	}
	b.gone = true
	y.mu.Unlock()
	if err := y.addServer(b.FailureDomain); err != nil {
		return err
	}
	leaving := b.BackendServer
	leaving.State = lovageyard.StateLeaving
	y.store.PutServer(leaving)
	y.check.Left(b.Name)
	b.Leave()
	time.Sleep(serverStay)
	y.store.RemoveServer(b.Name)
	return nil
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
