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

// startFault injects one fault in the background for its duration, and records what it affects and for how
// long.
func (d *deployment) startFault(f fault) {
	start := time.Now()
	target := d.affectedBy(f)
	if !f.Kind.isPlanned() {
		d.check.RecordFault(target, start, start.Add(f.Duration+impactTail))
	}
	d.check.CountFault(f.Kind)
	d.runningFaults.Go(func() {
		if err := d.inject(f); err != nil {
			d.recordHarnessError(err)
		}
		if late := time.Since(start) - f.Duration - impactTail; late > 0 && !f.Kind.isPlanned() {
			d.check.RecordFault(target, start, time.Now())
		}
	})
}

// affectedBy returns what a fault affects: the name of an instance, affectsStore or affectsServers.
func (d *deployment) affectedBy(f fault) string {
	switch f.Kind {
	case pauseInstance, killInstance, cutFromStore, narrowStore:
		return d.instances[f.Target%len(d.instances)].name
	case storeDown, storeHangs, storeSlow, storeLosesAnswers, storeDelaysWrites, storeDropsHistory:
		return affectsStore
	}
	return affectsServers
}

// recordHarnessError records a failure of the soak itself.
func (d *deployment) recordHarnessError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.harnessErrors = append(d.harnessErrors, err.Error())
}

// inject applies a fault, waits for its duration and undoes it.
func (d *deployment) inject(f fault) error {
	i := d.instances[f.Target%len(d.instances)]
	switch f.Kind {
	case pauseInstance:
		i.signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		i.signal(syscall.SIGCONT)
	case killInstance:
		i.signal(syscall.SIGKILL)
		return d.restart(i)
	case restartInstance:
		i.signal(syscall.SIGTERM)
		return d.restart(i)
	case storeDown, storeHangs, storeSlow, storeLosesAnswers, storeDelaysWrites:
		d.store.SetFaults(storeFaults(f.Kind))
		time.Sleep(f.Duration)
		d.store.SetFaults(fake.StoreFaults{})
	case storeDropsHistory:
		d.store.DropHistory()
	case cutFromStore:
		return d.addToxic(d.proxies[i.name], f, `{"name":"fault","type":"timeout","attributes":{"timeout":0}}`)
	case delayServer:
		return d.addToxic(d.pickServer(f.Target).proxy, f, `{"name":"fault","type":"latency","attributes":{"latency":150,"jitter":50}}`)
	case dropServerAnswers:
		return d.addToxic(d.pickServer(f.Target).proxy, f, `{"name":"fault","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
	case dropServerRequests:
		return d.addToxic(d.pickServer(f.Target).proxy, f, `{"name":"fault","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
	case resetServer:
		return d.resetConnections(d.pickServer(f.Target).proxy)
	case truncateAnswers, loseAnswers, duplicateAnswers, failRequests, rejectRequests:
		b := d.pickServer(f.Target)
		b.SetFaults(serverFaults(f.Kind))
		time.Sleep(f.Duration)
		b.SetFaults(fake.Faults{})
	case crashServer:
		return d.crash(d.pickServer(f.Target), f.Duration)
	case replaceServer:
		return d.replaceServer(d.pickServer(f.Target))
	case drainDomain:
		domain := domains[f.Target%len(domains)].name
		d.store.Drain(domain)
		d.check.SetDrained(domain, true)
		time.Sleep(f.Duration + minDrainTime)
		d.check.SetDrained(domain, false)
		d.store.Undrain(domain)
	case configure:
		d.configure()
	case largeConfiguration:
		d.mu.Lock()
		d.extraRoutes = min(d.extraRoutes+routesPerChange, maxExtraRoutes)
		d.mu.Unlock()
		d.configure()
	case narrowStore:
		return d.addToxic(d.proxies[i.name], f, fmt.Sprintf(`{"name":"fault","type":"bandwidth","stream":"downstream","attributes":{"rate":%d}}`, narrowLinkRate))
	case foreignEntry:
		return d.overwriteEntry(d.pickServer(f.Target), f.Duration)
	case restartServer:
		return d.restartServer(d.pickServer(f.Target))
	case replaceVersions:
		return d.replaceVersions()
	case restoreStore:
		d.restoreStore(f)
	case poisonRequest:
		d.sendPoison(f)
	case limitServer, backOffServer, leaveInAnswers:
		return d.applyBackpressure(d.pickServer(f.Target), f)
	case burst:
		// runSeed switches the callers to the higher rate.
		time.Sleep(f.Duration)
	}
	return nil
}

// restart waits until an instance has exited and starts its next incarnation, unless another
// fault of a series has already done so.
func (d *deployment) restart(i *instance) error {
	err := i.waitExit()
	time.Sleep(restartDelay)
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-i.exited:
	default:
		return err
	}
	if startErr := i.start(d.joinAddresses()); startErr != nil {
		return startErr
	}
	d.check.RegisterInstance(i.endpoints().caller, i.name, i.region)
	return err
}

func storeFaults(k kind) fake.StoreFaults {
	switch k {
	case storeDown:
		return fake.StoreFaults{Status: http.StatusServiceUnavailable}
	case storeHangs:
		return fake.StoreFaults{Hang: true}
	case storeSlow:
		return fake.StoreFaults{Delay: 250 * time.Millisecond}
	case storeLosesAnswers:
		return fake.StoreFaults{DropWriteResponses: true}
	}
	return fake.StoreFaults{WriteDelay: time.Second}
}

func serverFaults(k kind) fake.Faults {
	const share = 0.3
	switch k {
	case truncateAnswers:
		return fake.Faults{Truncate: share}
	case loseAnswers:
		return fake.Faults{DropConnection: share}
	case duplicateAnswers:
		return fake.Faults{ExtraResponse: share}
	case rejectRequests:
		return fake.Faults{Reject: share}
	}
	return fake.Faults{Fail: share}
}

// addToxic disturbs a link for the duration of a fault. The description is a toxic of toxiproxy in JSON.
func (d *deployment) addToxic(proxy *toxiproxy.Proxy, f fault, description string) error {
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(description)); err != nil {
		// Another fault of a series already disturbs the link.
		return nil
	}
	time.Sleep(f.Duration)
	return proxy.Toxics.RemoveToxic("fault")
}

// resetConnections closes all connections of a link; new ones are accepted again.
func (d *deployment) resetConnections(proxy *toxiproxy.Proxy) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	proxy.Stop()
	return errors.Wrap(proxy.Start(), "proxy")
}

// crash stops a server without notice. After removeAfter its entry is removed and a replacement starts.
func (d *deployment) crash(b *backend, removeAfter time.Duration) error {
	d.mu.Lock()
	if b.unavailable {
		d.mu.Unlock()
		return nil
	}
	b.unavailable = true
	d.mu.Unlock()
	b.proxy.Stop()
	b.Close()
	time.Sleep(removeAfter)
	d.store.RemoveServer(b.Name)
	return d.addServer(b.FailureDomain)
}

// foreignEntries are values that another program may write in place of a server's entry.
var foreignEntries = []any{
	"ready", 7, []string{}, map[string]any{}, map[string]any{"Addr": "127.0.0.1:1", "Status": map[string]any{"State": "ready"}},
}

// overwriteEntry overwrites a server's entry with a foreign value, then restores it.
func (d *deployment) overwriteEntry(b *backend, duration time.Duration) error {
	d.mu.Lock()
	if b.unavailable {
		d.mu.Unlock()
		return nil
	}
	b.unavailable = true
	d.mu.Unlock()
	d.store.PutForeign("servers", b.Name, foreignEntries[len(b.Name+b.Address)%len(foreignEntries)])
	d.check.RecordLeaving(b.Name)
	d.setOverwritten(b.Name, true)
	time.Sleep(duration + minDrainTime)
	d.setOverwritten(b.Name, false)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check.RecordReturn(b.Name)
	d.store.PutServer(b.BackendServer)
	b.unavailable = false
	return nil
}

// setOverwritten records whether another program has overwritten a server's entry.
func (d *deployment) setOverwritten(name string, overwritten bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.overwritten[name] = overwritten
}

// restartServer stops a server and starts it again under the same name at another address.
func (d *deployment) restartServer(b *backend) error {
	d.mu.Lock()
	if b.unavailable {
		d.mu.Unlock()
		return nil
	}
	b.unavailable = true
	d.mu.Unlock()
	b.Close()
	time.Sleep(restartDelay)
	d.mu.Lock()
	defer d.mu.Unlock()
	restarted := b.BackendServer
	restarted.Incarnation = time.Now().UnixMilli()
	restarted.ColdFor = lovageyard.Duration(coldFor)
	server, err := fake.StartServer(restarted, serverWork, d.check)
	if err != nil {
		return err
	}
	proxy, err := newProxy(server.Name, server.Address)
	if err != nil {
		return err
	}
	b.proxy.Stop()
	server.Address = proxy.Listen
	d.check.RecordServerStart(b.Name)
	d.store.PutServer(server.BackendServer)
	b.Server, b.proxy, b.unavailable = server, proxy, false
	d.makeCrashable(b)
	return nil
}

// replaceServer starts a replacement of a server, then has the server leave: its entry says so, it continues
// to serve for serverLeaveTime, and is then removed.
func (d *deployment) replaceServer(b *backend) error {
	d.mu.Lock()
	if b.unavailable {
		d.mu.Unlock()
		return nil
	}
	b.unavailable = true
	d.mu.Unlock()
	if err := d.addServer(b.FailureDomain); err != nil {
		return err
	}
	leaving := b.BackendServer
	leaving.State = lovageyard.StateLeaving
	d.store.PutServer(leaving)
	d.check.RecordLeaving(b.Name)
	b.Leave()
	time.Sleep(serverLeaveTime)
	d.store.RemoveServer(b.Name)
	return nil
}
