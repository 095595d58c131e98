package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

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
		y.store.SetFaults(storeTrouble(f.Kind))
		time.Sleep(f.For)
		y.store.SetFaults(fake.StoreFaults{})
	case storeForgets:
		y.store.DropHistory()
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
	case replaceVersions:
		return y.replaceVersions()
	case deadlyRequest:
		y.sendDeadly(f)
	case limitServer, backOffServer, leaveInAnswers:
		return y.constrain(y.pick(f.Target), f)
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

func storeTrouble(k kind) fake.StoreFaults {
	switch k {
	case storeDown:
		return fake.StoreFaults{Status: http.StatusServiceUnavailable}
	case storeSilent:
		return fake.StoreFaults{Hang: true}
	case storeSlow:
		return fake.StoreFaults{Delay: 250 * time.Millisecond}
	case storeLost:
		return fake.StoreFaults{DropWriteResponses: true}
	}
	return fake.StoreFaults{WriteDelay: time.Second}
}

func serverFaults(k kind) fake.Faults {
	const share = 0.3
	switch k {
	case spoilAnswers:
		return fake.Faults{Truncate: share}
	case loseAnswers:
		return fake.Faults{DropConnection: share}
	case doubleAnswers:
		return fake.Faults{ExtraResponse: share}
	case shedRequests:
		return fake.Faults{Reject: share}
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
	b.proxy.Stop()
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
	again.Incarnation = time.Now().UnixMilli()
	again.ColdFor = lovageyard.Duration(coldFor)
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
	y.makeFrail(b)
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
