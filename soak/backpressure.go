package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// Kinds of backpressure that servers signal in their answers. Plans combine them with faults of instances and of
// the store, but not of the links to servers, so that the signals that each instance has received are known.
const (
	limitServer    kind = "limit-server"
	backOffServer  kind = "back-off-server"
	leaveInAnswers kind = "leave-in-answers"
)

// backpressureKinds are the kinds in plans with backpressure. The last three, which are backpressure, are drawn
// at least as often as all others together.
var backpressureKinds = []kind{
	pauseInstance, killInstance, restartInstance, cutFromStore, storeDown, storeHangs, storeSlow, storeDropsHistory, configure, drainDomain, replaceServer, burst,
	limitServer, backOffServer, leaveInAnswers,
}

const (
	backpressureStream = 4
	// signalDelay is the time after an answer in which its instance must apply the signal in it.
	signalDelay = time.Second
	// leaveSignalBound bounds the time that an instance may still send requests to a server after an answer
	// that says that the server is leaving.
	leaveSignalBound = 2500 * time.Millisecond
	// Check of a rate limit: later than limitAfter after the first announcement, a server may get in each
	// limitWindow limitExcess times what the limit allows, plus limitSlack.
	limitAfter  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// backoffSends is the number of requests of each instance that may reach a server during a backoff.
	backoffSends = 2
	// limitDuration is the time for which a server announces a limit, and backoffDuration that for which it
	// rejects requests.
	limitDuration   = 10 * time.Second
	backoffDuration = 4 * time.Second
)

// serverLimits are the limits that servers announce, in requests a second.
var serverLimits = []float64{0, 0.5, 2, 6.5}

// backpressurePlan draws faults of instances and of the store, planned operations, and backpressure of servers.
func backpressurePlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, backpressureStream))
	var plan []fault
	for at := time.Second; at < span; at += time.Duration(100+random.IntN(900)) * time.Millisecond {
		list := backpressureKinds
		if random.IntN(2) == 0 {
			list = backpressureKinds[len(backpressureKinds)-3:]
		}
		plan = append(plan, fault{
			At: at, Kind: list[random.IntN(len(list))], Target: random.IntN(1 << 16), Duration: time.Duration(500+random.IntN(3500)) * time.Millisecond,
		})
	}
	return slices.DeleteFunc(plan, func(f fault) bool { return f.At+f.Duration > span })
}

// applyBackpressure has a server signal backpressure for some time. A server has at most one such fault at
// a time.
func (d *deployment) applyBackpressure(b *backend, f fault) error {
	d.mu.Lock()
	if b.unavailable || b.hasBackpressure {
		d.mu.Unlock()
		return nil
	}
	b.hasBackpressure = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		b.hasBackpressure = false
	}()
	switch f.Kind {
	case limitServer:
		b.SetLimit(serverLimits[f.Target%len(serverLimits)])
		time.Sleep(limitDuration)
		b.SetLimit(-1)
		d.check.RecordLimitLifted(b.Name)
	case backOffServer:
		b.BackOff(backoffDuration)
		time.Sleep(backoffDuration)
	case leaveInAnswers:
		return d.leaveInAnswers(b)
	}
	return nil
}

// leaveInAnswers has a server leave, after a replacement has started. The server announces it only in its
// answers, while the store still lists it.
func (d *deployment) leaveInAnswers(b *backend) error {
	if err := d.addServer(b.FailureDomain); err != nil {
		return err
	}
	d.mu.Lock()
	b.unavailable = true
	d.mu.Unlock()
	b.Leave()
	time.Sleep(2 * serverLeaveTime)
	d.store.RemoveServer(b.Name)
	return nil
}

// link is a pair of an instance and a server that it sends requests to.
type link struct {
	server, instance string
}

// pendingSignal is the backpressure in a server's answer to a request whose caller has no answer yet.
type pendingSignal struct {
	server string
	signal lovageyard.Backpressure
	at     time.Time
}

// backoff is a period in which an instance should send nothing to a server, as the server requested.
type backoff struct {
	requestedAt, until time.Time
	sends              int
}

// backpressureState holds the backpressure that servers have signalled, and the requests that they received.
type backpressureState struct {
	// pending holds the signals of answers by request, until the caller has received an answer.
	pending map[string][]pendingSignal
	// leaving and limited hold the time when an instance first forwarded an answer with such a signal.
	leaving  map[link]time.Time
	limited  map[link]time.Time
	backoffs map[link]backoff
	// limits holds the largest limit that each server has announced since its last limit was lifted, and
	// announcedAt the time when it announced the first one.
	limits      map[string]float64
	announcedAt map[string]time.Time
	arrivals    map[string][]time.Time
	// startedAt is the start of each instance's current incarnation.
	startedAt map[string]time.Time
}

func newBackpressureState() backpressureState {
	return backpressureState{
		pending: make(map[string][]pendingSignal), leaving: make(map[link]time.Time), limited: make(map[link]time.Time), backoffs: make(map[link]backoff),
		limits: make(map[string]float64), announcedAt: make(map[string]time.Time), arrivals: make(map[string][]time.Time), startedAt: make(map[string]time.Time),
	}
}

// BackpressureSent records the signal in a server's answer to a request.
func (c *checker) BackpressureSent(server, id string, signal lovageyard.Backpressure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.backpressure.pending[id] = append(c.backpressure.pending[id], pendingSignal{server, signal, now})
	to := link{server, c.sender[id]}
	if known := c.backpressure.backoffs[to]; signal.Backoff > 0 && now.Add(signal.Backoff).After(known.until) {
		if now.After(known.until) {
			known = backoff{requestedAt: now}
		}
		known.until = now.Add(signal.Backoff)
		c.backpressure.backoffs[to] = known
	}
	if !signal.Limited {
		return
	}
	if c.backpressure.announcedAt[server].IsZero() {
		c.backpressure.announcedAt[server] = now
	}
	c.backpressure.limits[server] = max(c.backpressure.limits[server], signal.Limit)
}

// recordDelivery records that the caller has an answer to a request, so that the instance has received the
// signals of all servers that answered it; the caller holds the lock.
func (c *checker) recordDelivery(id string) {
	now := time.Now()
	for _, p := range c.backpressure.pending[id] {
		to := link{p.server, c.sender[id]}
		if _, known := c.backpressure.leaving[to]; !known && p.signal.Leaving {
			c.backpressure.leaving[to] = now
		}
		if _, known := c.backpressure.limited[to]; !known && p.signal.Limited {
			c.backpressure.limited[to] = now
		}
	}
	delete(c.backpressure.pending, id)
}

// hasReceived reports whether an instance still knows a signal that it received at a time: it has not been
// restarted, paused or killed since. The caller holds the lock.
func (c *checker) hasReceived(check, instance string, at, now time.Time) bool {
	if c.backpressure.startedAt[instance].After(at) {
		c.counts["excused "+check]++
		return false
	}
	return c.isUnaffected(check, at, now, affectsInstance(instance))
}

// checkBackpressure checks a request that reached a server against the signals of the server; the caller holds
// the lock.
func (c *checker) checkBackpressure(server, id string, now time.Time) {
	to := link{server, c.sender[id]}
	if receivedAt, known := c.backpressure.leaving[to]; known && now.Sub(receivedAt) > leaveSignalBound && c.hasReceived("arrivals after an answer that leaves", to.instance, receivedAt, now) {
		c.violationf("server %s got %s from %s %s after its answer that it is leaving", server, id, to.instance, now.Sub(receivedAt))
	}
	c.checkBackoff(to, id, now)
	c.checkLimit(to, id, now)
}

// checkBackoff checks that a server gets at most backoffSends requests of an instance during a backoff.
func (c *checker) checkBackoff(to link, id string, now time.Time) {
	b, known := c.backpressure.backoffs[to]
	if !known || now.Sub(b.requestedAt) < signalDelay || now.After(b.until) || !c.hasReceived("arrivals in a backoff", to.instance, b.requestedAt, now) {
		return
	}
	b.sends++
	c.backpressure.backoffs[to] = b
	if b.sends > backoffSends {
		c.violationf("server %s got %s from %s, request %d in a backoff that it requested %s before", to.server, id, to.instance, b.sends, now.Sub(b.requestedAt))
	}
}

// checkLimit checks that a server gets no more than its limit from all instances together.
func (c *checker) checkLimit(to link, id string, now time.Time) {
	receivedAt, known := c.backpressure.limited[to]
	announcedAt := c.backpressure.announcedAt[to.server]
	if !known || announcedAt.IsZero() || now.Sub(receivedAt) < signalDelay || !c.hasReceived("arrivals at a limit", to.instance, receivedAt, now) {
		return
	}
	arrivals := append(recent(c.backpressure.arrivals[to.server], limitWindow, now), now)
	c.backpressure.arrivals[to.server] = arrivals
	limit := c.backpressure.limits[to.server]
	if allowed := limitExcess*limit*limitWindow.Seconds() + limitSlack; now.Sub(announcedAt) > limitAfter && float64(len(arrivals)) > allowed {
		c.violationf("server %s, which announced a limit of %v, got %s, request %d in %s", to.server, limit, id, len(arrivals), limitWindow)
	}
}

// RecordLimitLifted records that a server no longer announces a limit.
func (c *checker) RecordLimitLifted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backpressure.announcedAt, server)
	delete(c.backpressure.limits, server)
	for to := range c.backpressure.limited {
		if to.server == server {
			delete(c.backpressure.limited, to)
		}
	}
}
