package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// Servers that ask for less in their answers, while instances are killed, paused, restarted and cut off from the
// store. No fault harms the ways to servers, so that it is known what each instance was told.
const (
	limitServer    kind = "limit-server"
	backOffServer  kind = "back-off-server"
	leaveInAnswers kind = "leave-in-answers"
)

// backpressureKinds are the kinds of such a plan; the last three are drawn as often as all others.
var backpressureKinds = []kind{
	pauseInstance, killInstance, restartInstance, cutFromStore, storeDown, storeSilent, storeSlow, storeForgets, configure, drainDomain, replaceServer, burst,
	limitServer, backOffServer, leaveInAnswers,
}

const (
	backpressureStream = 4
	// toldAfter is the time after an answer from which its instance has to act on it.
	toldAfter = time.Second
	// leaveToldBound is the time after an answer from which its server gets nothing more from the instance.
	leaveToldBound = 2500 * time.Millisecond
	// Bound of a limit: from limitAfter on, limitExcess times what it allows in limitWindow, and limitSlack.
	limitAfter  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// backoffSends is how many requests of an instance may reach a server in a backoff.
	backoffSends = 2
	// limitsFor is how long a server names a limit, and backoffFor how long it turns requests away.
	limitsFor  = 10 * time.Second
	backoffFor = 4 * time.Second
)

// serverLimits are the limits that servers name, in requests a second.
var serverLimits = []float64{0, 0.5, 2, 6.5}

// backpressurePlan draws faults of instances and of the store, planned work, and servers that ask for less.
func backpressurePlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, backpressureStream))
	var plan []fault
	for at := time.Second; at < span; at += time.Duration(100+random.IntN(900)) * time.Millisecond {
		list := backpressureKinds
		if random.IntN(2) == 0 {
			list = backpressureKinds[len(backpressureKinds)-3:]
		}
		plan = append(plan, fault{
			At: at, Kind: list[random.IntN(len(list))], Target: random.IntN(1 << 16), For: time.Duration(500+random.IntN(3500)) * time.Millisecond,
		})
	}
	return slices.DeleteFunc(plan, func(f fault) bool { return f.At+f.For > span })
}

// constrain has a server ask for less; a server asks for one thing at a time.
func (y *yard) constrain(b *backend, f fault) error {
	y.mu.Lock()
	if b.gone || b.constrained {
		y.mu.Unlock()
		return nil
	}
	b.constrained = true
	y.mu.Unlock()
	defer func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		b.constrained = false
	}()
	switch f.Kind {
	case limitServer:
		b.SetLimit(serverLimits[f.Target%len(serverLimits)])
		time.Sleep(limitsFor)
		b.SetLimit(-1)
		y.check.Lifted(b.Name)
	case backOffServer:
		b.BackOff(backoffFor)
		time.Sleep(backoffFor)
	case leaveInAnswers:
		return y.leaveInAnswers(b)
	}
	return nil
}

// leaveInAnswers lets a server leave that says so in its answers alone, while the store lists it.
func (y *yard) leaveInAnswers(b *backend) error {
	if err := y.addServer(b.FailureDomain); err != nil {
		return err
	}
	y.mu.Lock()
	b.gone = true
	y.mu.Unlock()
	b.Leave()
	time.Sleep(2 * serverStay)
	y.store.RemoveServer(b.Name)
	return nil
}

// way is that from an instance to a server.
type way struct {
	server, instance string
}

// pendingNotice is what a server's answer to a request asked for.
type pendingNotice struct {
	server string
	notice lovageyard.Backpressure
	at     time.Time
}

// backoff is a time in which an instance was asked to send nothing.
type backoff struct {
	asked, until time.Time
	sends        int
}

// notices is what servers have asked for, and what they got.
type notices struct {
	// pending are those of answers whose request has not ended yet.
	pending map[string][]pendingNotice
	// leaving and limited hold since when an instance has passed on an answer that says so.
	leaving  map[way]time.Time
	limited  map[way]time.Time
	backoffs map[way]backoff
	// limits holds the largest limit that each server has named of late, and since when it names any.
	limits   map[string]float64
	namedAt  map[string]time.Time
	arrivals map[string][]time.Time
	// began is when the present life of each instance began.
	began map[string]time.Time
}

func newNotices() notices {
	return notices{
		pending: make(map[string][]pendingNotice), leaving: make(map[way]time.Time), limited: make(map[way]time.Time), backoffs: make(map[way]backoff),
		limits: make(map[string]float64), namedAt: make(map[string]time.Time), arrivals: make(map[string][]time.Time), began: make(map[string]time.Time),
	}
}

// Asked notes what the answer to a request asks for.
func (c *checker) BackpressureSent(server, id string, n lovageyard.Backpressure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.notices.pending[id] = append(c.notices.pending[id], pendingNotice{server, n, now})
	to := way{server, c.sender[id]}
	if known := c.notices.backoffs[to]; n.Backoff > 0 && now.Add(n.Backoff).After(known.until) {
		if now.After(known.until) {
			known = backoff{asked: now}
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

// passed notes that an instance has passed on the answers to a request; the caller holds the lock.
func (c *checker) passed(id string) {
	now := time.Now()
	for _, w := range c.notices.pending[id] {
		to := way{w.server, c.sender[id]}
		if _, known := c.notices.leaving[to]; !known && w.notice.Leaving {
			c.notices.leaving[to] = now
		}
		if _, known := c.notices.limited[to]; !known && w.notice.Limited {
			c.notices.limited[to] = now
		}
	}
	delete(c.notices.pending, id)
}

// wasTold says whether an instance still knows what it was told at a time: it has not been restarted, paused or
// killed since. The caller holds the lock.
func (c *checker) wasTold(check, instance string, at, now time.Time) bool {
	if c.notices.began[instance].After(at) {
		c.counts["excused "+check]++
		return false
	}
	return c.quiet(check, at, now, harmsInstance(instance))
}

// checkNotices checks that a server gets no more than it has asked for; the caller holds the lock.
func (c *checker) checkNotices(server, id string, now time.Time) {
	to := way{server, c.sender[id]}
	if told, known := c.notices.leaving[to]; known && now.Sub(told) > leaveToldBound && c.wasTold("arrivals after an answer that leaves", to.instance, told, now) {
		c.violate("server %s got %s from %s %s after its answer that it leaves", server, id, to.instance, now.Sub(told))
	}
	c.checkBackoff(to, id, now)
	c.checkLimit(to, id, now)
}

func (c *checker) checkBackoff(to way, id string, now time.Time) {
	r, known := c.notices.backoffs[to]
	if !known || now.Sub(r.asked) < toldAfter || now.After(r.until) || !c.wasTold("arrivals in a backoff", to.instance, r.asked, now) {
		return
	}
	r.sends++
	c.notices.backoffs[to] = r
	if r.sends > backoffSends {
		c.violate("server %s got %s from %s, request %d in a backoff that it asked for %s before", to.server, id, to.instance, r.sends, now.Sub(r.asked))
	}
}

func (c *checker) checkLimit(to way, id string, now time.Time) {
	told, known := c.notices.limited[to]
	named := c.notices.namedAt[to.server]
	if !known || named.IsZero() || now.Sub(told) < toldAfter || !c.wasTold("arrivals at a limit", to.instance, told, now) {
		return
	}
	arrivals := append(within(c.notices.arrivals[to.server], limitWindow, now), now)
	c.notices.arrivals[to.server] = arrivals
	limit := c.notices.limits[to.server]
	if most := limitExcess*limit*limitWindow.Seconds() + limitSlack; now.Sub(named) > limitAfter && float64(len(arrivals)) > most {
		c.violate("server %s, which names a limit of %v, got %s, request %d in %s", to.server, limit, id, len(arrivals), limitWindow)
	}
}

// Lifted notes that a server names no limit any more.
func (c *checker) Lifted(server string) {
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
