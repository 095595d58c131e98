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
	restServer     kind = "rest-server"
	leaveInAnswers kind = "leave-in-answers"
)

// needyKinds are the kinds of such a plan; the last three are drawn as often as all others.
var needyKinds = []kind{
	pauseInstance, killInstance, restartInstance, cutFromStore, storeDown, storeSilent, storeSlow, storeForgets, configure, drainDomain, replaceServer, burst,
	limitServer, restServer, leaveInAnswers,
}

const (
	needyStream = 4
	// toldAfter is the time after an answer from which its instance has to act on it.
	toldAfter = time.Second
	// leaveToldBound is the time after an answer from which its server gets nothing more from the instance.
	leaveToldBound = 2500 * time.Millisecond
	// Bound of a limit: from limitAfter on, limitExcess times what it allows in limitWindow, and limitSlack.
	limitAfter  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// restSends is how many requests of an instance may reach a server in a rest.
	restSends = 2
	// limitsFor is how long a server names a limit, and restFor how long it turns requests away.
	limitsFor = 10 * time.Second
	restFor   = 4 * time.Second
)

// serverLimits are the limits that servers name, in requests a second.
var serverLimits = []float64{0, 0.5, 2, 6.5}

// needyPlan draws faults of instances and of the store, planned work, and servers that ask for less.
func needyPlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, needyStream))
	var plan []fault
	for at := time.Second; at < span; at += time.Duration(100+random.IntN(900)) * time.Millisecond {
		list := needyKinds
		if random.IntN(2) == 0 {
			list = needyKinds[len(needyKinds)-3:]
		}
		plan = append(plan, fault{
			At: at, Kind: list[random.IntN(len(list))], Target: random.IntN(1 << 16), For: time.Duration(500+random.IntN(3500)) * time.Millisecond,
		})
	}
	return slices.DeleteFunc(plan, func(f fault) bool { return f.At+f.For > span })
}

// ask has a server ask for less; a server asks for one thing at a time.
func (y *yard) ask(b *backend, f fault) error {
	y.mu.Lock()
	if b.gone || b.asks {
		y.mu.Unlock()
		return nil
	}
	b.asks = true
	y.mu.Unlock()
	defer func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		b.asks = false
	}()
	switch f.Kind {
	case limitServer:
		b.SetLimit(serverLimits[f.Target%len(serverLimits)])
		time.Sleep(limitsFor)
		b.SetLimit(-1)
		y.check.Lifted(b.Name)
	case restServer:
		b.Rest(restFor)
		time.Sleep(restFor)
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

// wish is what a server's answer to a request asked for.
type wish struct {
	server string
	notice lovageyard.Notice
	at     time.Time
}

// rest is a time in which an instance was asked to send nothing.
type rest struct {
	asked, until time.Time
	sends        int
}

// needs is what servers have asked for, and what they got.
type needs struct {
	// wishes are those of answers whose request has not ended yet.
	wishes map[string][]wish
	// leaving and limited hold since when an instance has passed on an answer that says so.
	leaving map[way]time.Time
	limited map[way]time.Time
	rests   map[way]rest
	// limits holds the largest limit that each server has named of late, and since when it names any.
	limits   map[string]float64
	namedAt  map[string]time.Time
	arrivals map[string][]time.Time
	// began is when the present life of each instance began.
	began map[string]time.Time
}

func newNeeds() needs {
	return needs{
		wishes: make(map[string][]wish), leaving: make(map[way]time.Time), limited: make(map[way]time.Time), rests: make(map[way]rest),
		limits: make(map[string]float64), namedAt: make(map[string]time.Time), arrivals: make(map[string][]time.Time), began: make(map[string]time.Time),
	}
}

// Asked notes what the answer to a request asks for.
func (c *checker) Asked(server, id string, n lovageyard.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.needs.wishes[id] = append(c.needs.wishes[id], wish{server, n, now})
	to := way{server, c.sender[id]}
	if known := c.needs.rests[to]; n.Rest > 0 && now.Add(n.Rest).After(known.until) {
		if now.After(known.until) {
			known = rest{asked: now}
		}
		known.until = now.Add(n.Rest)
		c.needs.rests[to] = known
	}
	if !n.Limited {
		return
	}
	if c.needs.namedAt[server].IsZero() {
		c.needs.namedAt[server] = now
	}
	c.needs.limits[server] = max(c.needs.limits[server], n.Limit)
}

// passed notes that an instance has passed on the answers to a request; the caller holds the lock.
func (c *checker) passed(id string) {
	now := time.Now()
	for _, w := range c.needs.wishes[id] {
		to := way{w.server, c.sender[id]}
		if _, known := c.needs.leaving[to]; !known && w.notice.Leaving {
			c.needs.leaving[to] = now
		}
		if _, known := c.needs.limited[to]; !known && w.notice.Limited {
			c.needs.limited[to] = now
		}
	}
	delete(c.needs.wishes, id)
}

// wasTold says whether an instance still knows what it was told at a time: it has not been restarted, paused or
// killed since. The caller holds the lock.
func (c *checker) wasTold(check, instance string, at, now time.Time) bool {
	if c.needs.began[instance].After(at) {
		c.counts["excused "+check]++
		return false
	}
	return c.quiet(check, at, now, harmsInstance(instance))
}

// checkNeeds checks that a server gets no more than it has asked for; the caller holds the lock.
func (c *checker) checkNeeds(server, id string, now time.Time) {
	to := way{server, c.sender[id]}
	if told, known := c.needs.leaving[to]; known && now.Sub(told) > leaveToldBound && c.wasTold("arrivals after an answer that leaves", to.instance, told, now) {
		c.violate("server %s got %s from %s %s after its answer that it leaves", server, id, to.instance, now.Sub(told))
	}
	c.checkRest(to, id, now)
	c.checkLimit(to, id, now)
}

func (c *checker) checkRest(to way, id string, now time.Time) {
	r, known := c.needs.rests[to]
	if !known || now.Sub(r.asked) < toldAfter || now.After(r.until) || !c.wasTold("arrivals in a rest", to.instance, r.asked, now) {
		return
	}
	r.sends++
	c.needs.rests[to] = r
	if r.sends > restSends {
		c.violate("server %s got %s from %s, request %d in a rest that it asked for %s before", to.server, id, to.instance, r.sends, now.Sub(r.asked))
	}
}

func (c *checker) checkLimit(to way, id string, now time.Time) {
	told, known := c.needs.limited[to]
	named := c.needs.namedAt[to.server]
	if !known || named.IsZero() || now.Sub(told) < toldAfter || !c.wasTold("arrivals at a limit", to.instance, told, now) {
		return
	}
	arrivals := append(within(c.needs.arrivals[to.server], limitWindow, now), now)
	c.needs.arrivals[to.server] = arrivals
	limit := c.needs.limits[to.server]
	if most := limitExcess*limit*limitWindow.Seconds() + limitSlack; now.Sub(named) > limitAfter && float64(len(arrivals)) > most {
		c.violate("server %s, which names a limit of %v, got %s, request %d in %s", to.server, limit, id, len(arrivals), limitWindow)
	}
}

// Lifted notes that a server names no limit any more.
func (c *checker) Lifted(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.needs.namedAt, server)
	delete(c.needs.limits, server)
	for to := range c.needs.limited {
		if to.server == server {
			delete(c.needs.limited, to)
		}
	}
}
