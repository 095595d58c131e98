package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds that are checked, with a margin for a busy machine.
const (
	// quietPeriod is the time before an event in which no relevant fault may have been in effect for a
	// time bound to be checked. A process that was just paused can't meet any bound.
	quietPeriod = 5 * time.Second
	// leaveBound is the time after which a leaving server or drained failure domain must get no requests: the
	// setting drainWithin and a margin.
	leaveBound = drainWithin + 500*time.Millisecond
	// applyBound is the time in which an instance must apply a configuration.
	applyBound = 5 * time.Second
	// coldWindow and retryWindow are the windows of the limits on cold servers and on retries. An instance spends
	// its share of the latter one window after its start, which has to be soon in a short run.
	coldWindow  = time.Second
	retryWindow = 5 * time.Second
	// maxViolations is the maximum number of violations that are reported.
	maxViolations = 50
)

// outcome is the result of a request as its caller saw it.
type outcome struct {
	ID       string
	Instance string
	// Status is 0 if there was no answer.
	Status int
	// Complete means that the answer was read to its end, and Matches that it belongs to the request. Foreign means
	// that it states the identity of another request.
	Complete bool
	Matches  bool
	Foreign  bool
	// Large means that a fault of the instance may end the answer halfway, and Stalled that the caller reads or sends
	// so slowly that the instance must end it. Matches then refers to what was read, and End to the end of the answer.
	Large   bool
	Stalled bool
	// Sent means that the whole request was written to an established connection.
	Sent bool
	// End is the time when the header of the answer arrived or the request failed.
	End time.Time
	// Start is the time when the request was sent.
	Start time.Time
}

// notRunStatus reports whether a status guarantees that the request has not run and never will.
func notRunStatus(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checker compares what callers and servers observe with the system's guarantees. It is safe for concurrent
// use, and is the observer of all servers.
type checker struct {
	mu sync.Mutex
	// unsafe holds for each request that was sent whether it must not run twice.
	unsafe    map[string]bool
	ran       map[string]int
	refused   map[string]bool
	leftAt    map[string]time.Time
	domainOf  map[string]string
	drainedAt map[string]time.Time
	impacts   []impact
	// coldUntil is the end of a started server's warm-up, and coldArrivals the times of requests during it.
	coldUntil    map[string]time.Time
	coldArrivals map[string][]time.Time
	// arrivalCounts counts the arrivals of each request at servers. sends and repeats are the times of requests
	// and of arrivals after the first in the last retryWindow.
	arrivalCounts map[string]int
	sends         []time.Time
	repeats       []time.Time
	// nameOf maps the current and former addresses of instances to their names. sender is the instance that a
	// request was sent to, which is the only one that forwards it.
	nameOf map[string]string
	sender map[string]string
	// served holds the newest configuration version that each incarnation was seen to serve.
	served map[string]uint64
	// poisonPaths holds the path of each attempt at a poison request. crashes counts the servers that crashed
	// by path, crashLimitAt is the time of the last crash that is allowed, and lateSends counts the sends
	// later than poisonBound after that.
	poisonPaths map[string]string
	// accounts holds the account of each request that was sent with a key.
	accounts     map[string]sentAccount
	crashes      map[string]int
	crashLimitAt map[string]time.Time
	lateSends    map[string]int
	backpressure backpressureState
	// arrivals are the first arrivals of all requests, in order, and regionOfInstance the regions of instances.
	arrivals []arrival
	// uploads holds the sizes of the large bodies that callers send.
	uploads          map[string]int
	regionOfInstance map[string]string
	violations       []string
	counts           map[string]int
}

// Values of impact.target besides the names of instances.
const (
	affectsStore   = "store"
	affectsServers = "servers"
)

// impact is a period in which a fault affects a target.
type impact struct {
	target   string
	from, to time.Time
}

func newChecker() *checker {
	return &checker{
		unsafe:        make(map[string]bool),
		ran:           make(map[string]int),
		refused:       make(map[string]bool),
		leftAt:        make(map[string]time.Time),
		domainOf:      make(map[string]string),
		drainedAt:     make(map[string]time.Time),
		served:        make(map[string]uint64),
		nameOf:        make(map[string]string),
		sender:        make(map[string]string),
		coldUntil:     make(map[string]time.Time),
		coldArrivals:  make(map[string][]time.Time),
		arrivalCounts: make(map[string]int),
		poisonPaths:   make(map[string]string),
		accounts:      make(map[string]sentAccount),
		crashes:       make(map[string]int),
		crashLimitAt:  make(map[string]time.Time),
		lateSends:     make(map[string]int),
		backpressure:  newBackpressureState(),

		regionOfInstance: make(map[string]string),
		uploads:          make(map[string]int),
		counts:           make(map[string]int),
	}
}

// violationf records a violation; the caller holds the lock.
func (c *checker) violationf(format string, values ...any) {
	c.counts["violations"]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, values...))
	}
}

// RecordFault records that a fault affects a target for a period.
func (c *checker) RecordFault(target string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.impacts = append(c.impacts, impact{target, from, to})
}

// RegisterInstance records the address and the start of an instance's new incarnation.
func (c *checker) RegisterInstance(address, instance, region string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.regionOfInstance[instance] = region
	c.nameOf[address] = instance
	c.backpressure.startedAt[instance] = time.Now()
}

// isUnaffected reports whether no fault with a relevant target was in effect in a period, so that a check can
// be made, and counts how often it was made or excused; the caller holds the lock.
func (c *checker) isUnaffected(check string, from, to time.Time, relevant func(target string) bool) bool {
	for _, i := range c.impacts {
		if relevant(i.target) && i.from.Before(to) && i.to.After(from) {
			c.counts["excused "+check]++
			return false
		}
	}
	c.counts["checked "+check]++
	return true
}

// affectsInstance returns a predicate for targets: faults that affect an instance itself.
func affectsInstance(name string) func(string) bool {
	return func(target string) bool { return target == name }
}

// affectsUpdates returns a predicate for targets: faults that keep an instance from receiving changes.
func affectsUpdates(name string) func(string) bool {
	return func(target string) bool { return target == name || target == affectsStore }
}

// mustHaveApplied reports whether an instance must have applied a change by now. The bound starts at the change,
// and again at the end of each fault that kept the instance from receiving it. The instance is excused if
// it was affected itself within quietPeriod. Like isUnaffected it counts the checks; the caller holds the
// lock.
func (c *checker) mustHaveApplied(check, instance string, changed time.Time, bound time.Duration, now time.Time) bool {
	due := changed.Add(bound)
	for extended := true; extended; {
		extended = false
		for _, i := range c.impacts {
			if !affectsUpdates(instance)(i.target) || !i.from.Before(due) || !i.to.After(changed) || !i.to.Add(bound).After(due) {
				continue
			}
			due = i.to.Add(bound)
			extended = true
		}
	}
	if now.Before(due) {
		c.counts["excused "+check]++
		return false
	}
	return c.isUnaffected(check, now.Add(-quietPeriod), now, affectsInstance(instance))
}

// CountFault counts a fault or planned operation that is started.
func (c *checker) CountFault(k kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["started "+string(k)]++
}

// RecordSend records a request. It is called before the request is sent to the instance at the address.
func (c *checker) RecordSend(id, address string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsafe[id] = unsafe
	c.sender[id] = c.nameOf[address]
	c.counts["sent"]++
	c.sends = append(recent(c.sends, retryWindow, time.Now()), time.Now())
}

// recent removes the times that are older than a window. It modifies the slice.
func recent(times []time.Time, window time.Duration, now time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) > window })
}

// RecordServerStart records that a server has just started and is cold.
func (c *checker) RecordServerStart(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil[server] = time.Now().Add(coldFor)
	// Requests to the previous incarnation under this name are not part of the new one's load.
	delete(c.coldArrivals, server)
}

// checkCold checks the limit on requests to a cold server. It applies to all instances together and no
// fault excuses it; the caller holds the lock.
func (c *checker) checkCold(server, id string, now time.Time) {
	if !now.Before(c.coldUntil[server]) {
		return
	}
	arrivals := append(recent(c.coldArrivals[server], coldWindow, now), now)
	c.coldArrivals[server] = arrivals
	c.counts["checked arrivals while cold"]++
	if limit := coldRate*coldExcess + coldSlack; len(arrivals) > int(limit) {
		c.violationf("cold server %s got %s, request %d in %s", server, id, len(arrivals), coldWindow)
	}
}

// checkRepeats checks the retry budget that all instances share; the caller holds the lock.
func (c *checker) checkRepeats(server, id string, now time.Time) {
	c.arrivalCounts[id]++
	if c.arrivalCounts[id] < 2 {
		return
	}
	c.counts["repeats"]++
	c.repeats = append(recent(c.repeats, retryWindow, now), now)
	c.sends = recent(c.sends, retryWindow, now)
	if limit := retryRatio*float64(len(c.sends)) + retrySlack; float64(len(c.repeats)) > limit {
		c.violationf("server %s got %s again, repeat %d in %s with %d requests", server, id, len(c.repeats), retryWindow, len(c.sends))
	}
}

// Arrived checks a request that reached a server: a caller must have sent it, the limits on cold servers,
// retries, poison requests and backpressure must hold, the server must not have left, and its failure domain
// must not be drained.
func (c *checker) Arrived(server, id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.unsafe[id]; !known {
		c.violationf("server %s got %s, which nobody sent", server, id)
	}
	c.checkCold(server, id, now)
	c.checkRepeats(server, id, now)
	c.recordArrival(server, id, now)
	sender := c.sender[id]
	c.checkPoison(server, id, now)
	c.checkBackpressure(server, id, now)
	leftAt, hasLeft := c.leftAt[server]
	if hasLeft && now.Sub(leftAt) > leaveBound && c.mustHaveApplied("arrivals after leaving", sender, leftAt, leaveBound, now) {
		c.violationf("server %s got %s from %s %s after it left", server, id, sender, now.Sub(leftAt))
	}
	drainedAt, isDrained := c.drainedAt[c.domainOf[server]]
	if isDrained && now.Sub(drainedAt) > leaveBound && c.mustHaveApplied("arrivals after a drain", sender, drainedAt, leaveBound, now) {
		c.violationf("server %s got %s from %s %s after its failure domain was drained", server, id, sender, now.Sub(drainedAt))
	}
}

// RecordPoison records the path of an attempt at a poison request.
func (c *checker) RecordPoison(id, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poisonPaths[id] = path
}

// RecordCrash records that a poison request crashed a server.
func (c *checker) RecordCrash(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[path]++
	c.counts["servers crashed by requests"]++
	if c.crashes[path] == poisonCrashLimit {
		c.crashLimitAt[path] = time.Now()
	}
}

// checkPoison checks that a poison request is sent to no more servers once it must be quarantined; the caller
// holds the lock.
func (c *checker) checkPoison(server, id string, now time.Time) {
	path := c.poisonPaths[id]
	reachedAt, reached := c.crashLimitAt[path]
	if !reached || now.Sub(reachedAt) <= poisonBound || !c.mustHaveApplied("sends of poison requests", c.sender[id], reachedAt, poisonBound, now) {
		return
	}
	c.lateSends[path]++
	if c.lateSends[path] > poisonLateSends {
		c.violationf("server %s got %s, send %d of a request that had crashed %d servers %s before", server, id, c.lateSends[path], c.crashes[path], now.Sub(reachedAt))
	}
}

// Started checks that a request that was refused as not run never runs, and that no charge runs twice.
func (c *checker) Started(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id]++
	c.counts["ran"]++
	if c.refused[id] {
		c.violationf("%s ran at %s after it had been refused as not run", id, server)
	}
	if c.unsafe[id] && c.ran[id] > 1 {
		c.violationf("%s, which must not run twice, ran again at %s", id, server)
	}
}

// RecordOutcome checks the answer that a caller received, and that no request was cut without a fault.
func (c *checker) RecordOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case o.Status == 0:
		c.counts["no answer"]++
	default:
		c.counts[fmt.Sprint(o.Status)]++
	}
	if o.Foreign {
		c.violationf("%s got the answer to another request from %s", o.ID, o.Instance)
	}
	if o.Status >= 200 && o.Status < 300 && (!o.Complete || !o.Matches) && !c.mayEndHalfway(o) {
		c.violationf("%s got a success that is not its own whole answer from %s", o.ID, o.Instance)
	}
	if o.Status != 0 {
		c.recordDelivery(o.ID)
	}
	c.checkKeyAccepted(o)
	if notRunStatus(o.Status) {
		c.refused[o.ID] = true
		if c.ran[o.ID] > 0 {
			c.violationf("%s was refused as not run by %s, but has run", o.ID, o.Instance)
		}
	}
	checked := c.isUnaffected("requests for cuts", o.Start.Add(-quietPeriod), o.End, affectsInstance(c.nameOf[o.Instance]))
	if checked && o.Status == 0 && o.Sent && c.ran[o.ID] > 0 {
		c.violationf("%s was cut at %s, which no fault affected", o.ID, o.Instance)
	}
}

// RecordLeaving records that a server's entry in the store says that it is leaving, or was overwritten with a
// foreign value. The first time counts until the server returns.
func (c *checker) RecordLeaving(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, hasLeft := c.leftAt[server]; !hasLeft {
		c.leftAt[server] = time.Now()
	}
}

// RecordReturn records that a server's entry in the store is valid again.
func (c *checker) RecordReturn(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leftAt, server)
}

// SetFailureDomain records the failure domain of a server.
func (c *checker) SetFailureDomain(server, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domainOf[server] = domain
}

// SetDrained records the start or the end of a failure domain's drain.
func (c *checker) SetDrained(domain string, drained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if drained {
		c.drainedAt[domain] = time.Now()
		return
	}
	delete(c.drainedAt, domain)
}

// RecordProbe checks the answer of an instance's incarnation on the route that only one version of the
// configuration has. The instance must not go back to an older version, and must apply a version within
// applyBound after it was accepted.
func (c *checker) RecordProbe(incarnation string, version uint64, status int, accepted time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == 200 {
		if version < c.served[incarnation] {
			c.violationf("%s went back from version %d to %d", incarnation, c.served[incarnation], version)
		}
		c.served[incarnation] = max(c.served[incarnation], version)
	}
	name, _, _ := strings.Cut(incarnation, "/")
	if now.Sub(accepted) <= applyBound {
		return
	}
	checked := c.mustHaveApplied("probes of versions", name, accepted, applyBound, now)
	if checked && status == 404 {
		c.violationf("%s does not apply version %d %s after it was accepted", incarnation, version, now.Sub(accepted))
	}
}

// CheckRecovery checks that at least 0.9 of the requests after the last fault were served.
func (c *checker) CheckRecovery(served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent == 0 || float64(served) < 0.9*float64(sent) {
		c.violationf("after the faults only %d of %d requests were served", served, sent)
	}
}

// Result returns the first maxViolations violations and all counters.
func (c *checker) Result() ([]string, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...), c.counts
}
