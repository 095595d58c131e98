package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds that are checked, with room for a busy machine.
const (
	// quietBefore is how long before an event nothing that counts for a bound in time may have
	// been harmed; a pause of the whole machine would break any bound.
	quietBefore = 5 * time.Second
	// leaveBound is the time after which a server or failure domain that leaves gets nothing.
	leaveBound = 4 * time.Second
	// applyBound is the time after which an instance applies a configuration.
	applyBound = 5 * time.Second
	// coldWindow and retryWindow are the spans of the bounds on cold servers and on repeats.
	coldWindow  = time.Second
	retryWindow = 10 * time.Second
	// maxViolations bounds what is reported.
	maxViolations = 50
)

// outcome is how a caller's request ended.
type outcome struct {
	ID       string
	Instance string
	// Status is 0 if no answer came.
	Status int
	// Whole says that the answer came to its end, and Own that it is the request's.
	Whole bool
	Own   bool
	// Sent says that the whole request was written to an established connection.
	Sent bool
	At   time.Time
	// Began is when the request was sent.
	Began time.Time
}

// notRunStatuses promise that the request has not run and never will.
func notRunStatus(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checker holds what callers and servers saw against the promises.
type checker struct {
	mu        sync.Mutex
	unsafe    map[string]bool
	ran       map[string]int
	refused   map[string]bool
	leftAt    map[string]time.Time
	domainOf  map[string]string
	drainedAt map[string]time.Time
	disturbed []harm
	// coldUntil is until when a server that has joined is cold, and coldArrivals when it got work.
	coldUntil    map[string]time.Time
	coldArrivals map[string][]time.Time
	// arrived counts the arrivals of each request; sends and repeats are the times of requests
	// and of arrivals beyond the first in the last retryWindow.
	arrived map[string]int
	sends   []time.Time
	repeats []time.Time
	// nameOf names the instance that has, or had, an address, and sender the one that a request
	// was sent to, which is the only one that passes it on.
	nameOf map[string]string
	sender map[string]string
	served map[string]uint64
	// deadly is the path of each attempt at a request that ends servers; ends counts these by path,
	// thirdAt is when the last one that is allowed ended, and late counts sends later than the bound.
	deadly map[string]string
	// accounts holds the account that each request was sent by, if there are any.
	accounts   map[string]sentAs
	ends       map[string]int
	thirdAt    map[string]time.Time
	late       map[string]int
	notices    notices
	violations []string
	counts     map[string]int
}

// What a fault harms, besides a single instance, which is called by its name.
const (
	harmsStore   = "store"
	harmsServers = "servers"
)

// harm is a time in which something is harmed.
type harm struct {
	what     string
	from, to time.Time
}

func newChecker() *checker {
	return &checker{
		unsafe:       make(map[string]bool),
		ran:          make(map[string]int),
		refused:      make(map[string]bool),
		leftAt:       make(map[string]time.Time),
		domainOf:     make(map[string]string),
		drainedAt:    make(map[string]time.Time),
		served:       make(map[string]uint64),
		nameOf:       make(map[string]string),
		sender:       make(map[string]string),
		coldUntil:    make(map[string]time.Time),
		coldArrivals: make(map[string][]time.Time),
		arrived:      make(map[string]int),
		deadly:       make(map[string]string),
		accounts:     make(map[string]sentAs),
		ends:         make(map[string]int),
		thirdAt:      make(map[string]time.Time),
		late:         make(map[string]int),
		notices:      newNotices(),
		counts:       make(map[string]int),
	}
}

// violate notes a broken promise; the caller holds the lock.
func (c *checker) violate(format string, values ...any) {
	c.counts["violations"]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, values...))
	}
}

// Disturb notes what a fault harms for the time it lasts.
func (c *checker) Disturb(what string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed = append(c.disturbed, harm{what, from, to})
}

// Name notes the address of an instance.
func (c *checker) Name(address, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nameOf[address] = instance
	c.notices.began[instance] = time.Now()
}

// quiet says whether nothing that counts was harmed in a time, and counts how often it was
// asked; the caller holds the lock.
func (c *checker) quiet(check string, from, to time.Time, counts func(what string) bool) bool {
	for _, d := range c.disturbed {
		if counts(d.what) && d.from.Before(to) && d.to.After(from) {
			c.counts["excused "+check]++
			return false
		}
	}
	c.counts["judged "+check]++
	return true
}

// harmsInstance returns what says whether a fault harms one instance itself.
func harmsInstance(name string) func(string) bool {
	return func(what string) bool { return what == name }
}

// harmsHearing returns what says whether a fault keeps one instance from hearing of a change.
func harmsHearing(name string) func(string) bool {
	return func(what string) bool { return what == name || what == harmsStore }
}

// mustKnow says whether an instance must act on a change by now that was made at a time: its bound
// begins anew when a fault ends that kept it from hearing of the change, and it is excused while
// it was harmed itself just before. It counts how often it was asked; the caller holds the lock.
func (c *checker) mustKnow(check, instance string, changed time.Time, bound time.Duration, now time.Time) bool {
	due := changed.Add(bound)
	for extended := true; extended; {
		extended = false
		for _, d := range c.disturbed {
			if !harmsHearing(instance)(d.what) || !d.from.Before(due) || !d.to.After(changed) || !d.to.Add(bound).After(due) {
				continue
			}
			due = d.to.Add(bound)
			extended = true
		}
	}
	if now.Before(due) {
		c.counts["excused "+check]++
		return false
	}
	return c.quiet(check, now.Add(-quietBefore), now, harmsInstance(instance))
}

// Count counts a fault or planned work that is played.
func (c *checker) Count(k kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["played "+string(k)]++
}

// Send notes a request before it is sent to the instance at an address.
func (c *checker) Send(id, address string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsafe[id] = unsafe
	c.sender[id] = c.nameOf[address]
	c.counts["sent"]++
	c.sends = append(within(c.sends, retryWindow, time.Now()), time.Now())
}

// within drops the times that lie further back than a span.
func within(times []time.Time, span time.Duration, now time.Time) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) > span })
}

// Joined notes that a server has just started, and is cold.
func (c *checker) Joined(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil[server] = time.Now().Add(coldFor)
	// What the life before got under this name is none of this one's load.
	delete(c.coldArrivals, server)
}

// checkCold checks the bound on requests to a cold server, which holds over all instances,
// whatever happens to them; the caller holds the lock.
func (c *checker) checkCold(server, id string, now time.Time) {
	if !now.Before(c.coldUntil[server]) {
		return
	}
	arrivals := append(within(c.coldArrivals[server], coldWindow, now), now)
	c.coldArrivals[server] = arrivals
	c.counts["judged arrivals while cold"]++
	if most := coldRate*coldExcess + coldSlack; len(arrivals) > int(most) {
		c.violate("cold server %s got %s, request %d in %s", server, id, len(arrivals), coldWindow)
	}
}

// checkRepeats checks the budget of repeats that all instances share; the caller holds the lock.
func (c *checker) checkRepeats(server, id string, now time.Time) {
	c.arrived[id]++
	if c.arrived[id] < 2 {
		return
	}
	c.counts["repeats"]++
	c.repeats = append(within(c.repeats, retryWindow, now), now)
	c.sends = within(c.sends, retryWindow, now)
	if most := retryRatio*float64(len(c.sends)) + retrySlack; float64(len(c.repeats)) > most {
		c.violate("server %s got %s again, repeat %d in %s with %d requests", server, id, len(c.repeats), retryWindow, len(c.sends))
	}
}

// Arrived checks that a server that left, or whose failure domain is drained, gets nothing.
func (c *checker) Arrived(server, id string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.unsafe[id]; !known {
		c.violate("server %s got %s, which nobody sent", server, id)
	}
	c.checkCold(server, id, now)
	c.checkRepeats(server, id, now)
	sender := c.sender[id]
	c.checkDeadly(server, id, now)
	c.checkNotices(server, id, now)
	left, leaves := c.leftAt[server]
	if leaves && now.Sub(left) > leaveBound && c.mustKnow("arrivals after leaving", sender, left, leaveBound, now) {
		c.violate("server %s got %s from %s %s after it left", server, id, sender, now.Sub(left))
	}
	drained, drains := c.drainedAt[c.domainOf[server]]
	if drains && now.Sub(drained) > leaveBound && c.mustKnow("arrivals after a drain", sender, drained, leaveBound, now) {
		c.violate("server %s got %s from %s %s after its failure domain was drained", server, id, sender, now.Sub(drained))
	}
}

// Deadly notes the path of an attempt at a request that ends servers.
func (c *checker) Deadly(id, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadly[id] = path
}

// DeadlyEnded notes that a server ended under a request.
func (c *checker) DeadlyEnded(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[path]++
	c.counts["servers ended by requests"]++
	if c.ends[path] == deadlyEnds {
		c.thirdAt[path] = time.Now()
	}
}

// checkDeadly checks that a request that ended servers goes to no more; the caller holds the lock.
func (c *checker) checkDeadly(server, id string, now time.Time) {
	path := c.deadly[id]
	third, stopped := c.thirdAt[path]
	if !stopped || now.Sub(third) <= deadlyBound || !c.mustKnow("sends of deadly requests", c.sender[id], third, deadlyBound, now) {
		return
	}
	c.late[path]++
	if c.late[path] > deadlySends {
		c.violate("server %s got %s, send %d of a request that had ended %d servers %s before", server, id, c.late[path], c.ends[path], now.Sub(third))
	}
}

// Ran checks that a request that was refused never runs, and a charge not twice.
func (c *checker) Started(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[id]++
	c.counts["ran"]++
	if c.refused[id] {
		c.violate("%s ran at %s after it had been refused as not run", id, server)
	}
	if c.unsafe[id] && c.ran[id] > 1 {
		c.violate("%s, which must not run twice, ran again at %s", id, server)
	}
}

// Ended checks what the caller got.
func (c *checker) Ended(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case o.Status == 0:
		c.counts["no answer"]++
	default:
		c.counts[fmt.Sprint(o.Status)]++
	}
	if o.Status >= 200 && o.Status < 300 && (!o.Whole || !o.Own) {
		c.violate("%s got a success that is not its own whole answer from %s", o.ID, o.Instance)
	}
	if o.Status != 0 {
		c.passed(o.ID)
	}
	c.checkKnown(o)
	if notRunStatus(o.Status) {
		c.refused[o.ID] = true
		if c.ran[o.ID] > 0 {
			c.violate("%s was refused as not run by %s, but has run", o.ID, o.Instance)
		}
	}
	judged := c.quiet("requests for cuts", o.Began.Add(-quietBefore), o.At, harmsInstance(c.nameOf[o.Instance]))
	if judged && o.Status == 0 && o.Sent && c.ran[o.ID] > 0 {
		c.violate("%s was cut at %s, which no fault harmed", o.ID, o.Instance)
	}
}

// Left notes that a server said, by its entry, that it leaves.
func (c *checker) Left(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[server] = time.Now()
}

// Back notes that a server's entry names it again.
func (c *checker) Back(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leftAt, server)
}

// Place notes the failure domain of a server.
func (c *checker) Place(server, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domainOf[server] = domain
}

// Drained notes that a failure domain is drained, or taken back.
func (c *checker) Drained(domain string, drained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if drained {
		c.drainedAt[domain] = time.Now()
		return
	}
	delete(c.drainedAt, domain)
}

// Probed takes in what one life of an instance answered on the route that only one version
// of the configuration has; accepted is when that version was.
func (c *checker) Probed(life string, version uint64, status int, accepted time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == 200 {
		if version < c.served[life] {
			c.violate("%s went back from version %d to %d", life, c.served[life], version)
		}
		c.served[life] = max(c.served[life], version)
	}
	name, _, _ := strings.Cut(life, "/")
	if now.Sub(accepted) <= applyBound {
		return
	}
	judged := c.mustKnow("probes of versions", name, accepted, applyBound, now)
	if judged && status == 404 {
		c.violate("%s does not apply version %d %s after it was accepted", life, version, now.Sub(accepted))
	}
}

// Recovered checks that requests are served again once all faults are over.
func (c *checker) Recovered(served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent == 0 || float64(served) < 0.9*float64(sent) {
		c.violate("after the faults only %d of %d requests were served", served, sent)
	}
}

// Result returns the violations and the counts.
func (c *checker) Result() ([]string, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...), c.counts
}
