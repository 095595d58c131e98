package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// Servers that signal backpressure in their answers. The plan combines them with faults of instances and of the
// store, but not of the links to servers, so that the notices that each instance has received are known.
const (
	limitServer    kind = "limit-server"
	backOffServer  kind = "back-off-server"
	leaveInAnswers kind = "leave-in-answers"
)

// backpressureKinds are the kinds of such a plan. The last three, the backpressure itself, are drawn at least
// as often as all others together.
var backpressureKinds = []kind{
	pauseInstance, killInstance, restartInstance, cutFromStore, storeDown, storeSilent, storeSlow, storeDropsHistory, configure, drainDomain, replaceServer, burst,
	limitServer, backOffServer, leaveInAnswers,
}

const (
	backpressureStream = 4
	// noticeDelay is the time after an answer in which its instance must apply the notice in it.
	noticeDelay = time.Second
	// leaveNoticeBound is the time after an answer that says that its server is leaving from which the
	// instance must not send the server any requests.
	leaveNoticeBound = 2500 * time.Millisecond
	// Check of a rate limit: from limitAfter after it was announced, a server may get limitExcess times what
	// the limit allows in a limitWindow, plus limitSlack.
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
	if b.removed || b.hasBackpressure {
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

// leaveInAnswers has a server leave that announces it only in its answers, while the store still lists it.
func (d *deployment) leaveInAnswers(b *backend) error {
	if err := d.addServer(b.FailureDomain); err != nil {
		return err
	}
	d.mu.Lock()
	b.removed = true
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

// pendingNotice is the notice in a server's answer to a request that has not ended at the caller yet.
type pendingNotice struct {
	server string
	notice lovageyard.Backpressure
	at     time.Time
}

// backoff is a period in which a server has asked an instance to send nothing.
type backoff struct {
	requestedAt, until time.Time
	sends              int
}

// notices holds the backpressure that servers have signalled, and the requests that they have received.
type notices struct {
	// pending holds the notices of answers by request, until the caller has received an answer.
	pending map[string][]pendingNotice
	// leaving and limited hold the time when an instance first forwarded an answer with such a notice.
	leaving  map[link]time.Time
	limited  map[link]time.Time
	backoffs map[link]backoff
	// limits holds the largest limit that each server has announced recently, and namedAt the time when it
	// announced the first one.
	limits   map[string]float64
	namedAt  map[string]time.Time
	arrivals map[string][]time.Time
	// startedAt is the start of each instance's current incarnation.
	startedAt map[string]time.Time
}

func newNotices() notices {
	return notices{
		pending: make(map[string][]pendingNotice), leaving: make(map[link]time.Time), limited: make(map[link]time.Time), backoffs: make(map[link]backoff),
		limits: make(map[string]float64), namedAt: make(map[string]time.Time), arrivals: make(map[string][]time.Time), startedAt: make(map[string]time.Time),
	}
}

// Asked records the notice in a server's answer to a request.
func (c *checker) BackpressureSent(server, id string, n lovageyard.Backpressure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.notices.pending[id] = append(c.notices.pending[id], pendingNotice{server, n, now})
	to := link{server, c.sender[id]}
	if known := c.notices.backoffs[to]; n.Backoff > 0 && now.Add(n.Backoff).After(known.until) {
		if now.After(known.until) {
			known = backoff{requestedAt: now}
		}
		known.until = now.Add(n.Backoff)
		c.notices.backoffs[to] = known
	}
	if !n.Limited {
		return
	}
	if c.notices.namedAt[server].IsZero() {
		c.notices.namedAt[server] = now
	}
	c.notices.limits[server] = max(c.notices.limits[server], n.Limit)
}

// recordDelivery records that the caller has an answer to a request, so that the instance has received the
// notices of all servers that answered it; the caller holds the lock.
func (c *checker) recordDelivery(id string) {
	now := time.Now()
	for _, w := range c.notices.pending[id] {
		to := link{w.server, c.sender[id]}
		if _, known := c.notices.leaving[to]; !known && w.notice.Leaving {
			c.notices.leaving[to] = now
		}
		if _, known := c.notices.limited[to]; !known && w.notice.Limited {
			c.notices.limited[to] = now
		}
	}
	delete(c.notices.pending, id)
}

// wasNotified reports whether an instance still knows a notice that it received at a time: it has not been
// restarted, paused or killed since. The caller holds the lock.
func (c *checker) wasNotified(check, instance string, at, now time.Time) bool {
	if c.notices.startedAt[instance].After(at) {
		c.counts["excused "+check]++
		return false
	}
	return c.isUnaffected(check, at, now, affectsInstance(instance))
}

// checkNotices checks a request that reached a server against the notices of the server; the caller holds the
// lock.
func (c *checker) checkNotices(server, id string, now time.Time) {
	to := link{server, c.sender[id]}
	if notifiedAt, known := c.notices.leaving[to]; known && now.Sub(notifiedAt) > leaveNoticeBound && c.wasNotified("arrivals after an answer that leaves", to.instance, notifiedAt, now) {
		c.violationf("server %s got %s from %s %s after its answer that it is leaving", server, id, to.instance, now.Sub(notifiedAt))
	}
	c.checkBackoff(to, id, now)
	c.checkLimit(to, id, now)
}

// checkBackoff checks that a server gets at most backoffSends requests of an instance during a backoff.
func (c *checker) checkBackoff(to link, id string, now time.Time) {
	b, known := c.notices.backoffs[to]
	if !known || now.Sub(b.requestedAt) < noticeDelay || now.After(b.until) || !c.wasNotified("arrivals in a backoff", to.instance, b.requestedAt, now) {
		return
	}
	b.sends++
	c.notices.backoffs[to] = b
	if b.sends > backoffSends {
		c.violationf("server %s got %s from %s, request %d in a backoff that it asked for %s before", to.server, id, to.instance, b.sends, now.Sub(b.requestedAt))
	}
}

// checkLimit checks that a server gets no more than its limit from all instances together.
func (c *checker) checkLimit(to link, id string, now time.Time) {
	notifiedAt, known := c.notices.limited[to]
	announcedAt := c.notices.namedAt[to.server]
	if !known || announcedAt.IsZero() || now.Sub(notifiedAt) < noticeDelay || !c.wasNotified("arrivals at a limit", to.instance, notifiedAt, now) {
		return
	}
	arrivals := append(recent(c.notices.arrivals[to.server], limitWindow, now), now)
	c.notices.arrivals[to.server] = arrivals
	limit := c.notices.limits[to.server]
	if allowed := limitExcess*limit*limitWindow.Seconds() + limitSlack; now.Sub(announcedAt) > limitAfter && float64(len(arrivals)) > allowed {
		c.violationf("server %s, which announced a limit of %v, got %s, request %d in %s", to.server, limit, id, len(arrivals), limitWindow)
	}
}

// RecordLimitLifted records that a server no longer announces a limit.
func (c *checker) RecordLimitLifted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.notices.namedAt, server)
	delete(c.notices.limits, server)
	for to := range c.notices.limited {
		if to.server == server {
			delete(c.notices.limited, to)
		}
	}
}
