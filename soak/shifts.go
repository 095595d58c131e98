package main

import (
	"math/rand/v2"
	"time"
)

// shiftKinds change the traffic and the configuration only, after which the regions in which requests run must
// hold their shares.
var shiftKinds = []kind{burst, configure, largeConfiguration}

const (
	shiftStream = 5
	// largestShift is the largest share of a region's requests that may change the region in which they run from
	// one window to the next, as in the instances' settings.
	largestShift = 0.15
	shiftWindow  = 2 * time.Second
	shiftStep    = 200 * time.Millisecond
	// minShiftRequests is the number of requests in a window from which on random variation of a share is far below
	// the bound: its standard deviation between two windows is 0.03 at most.
	minShiftRequests = 500
)

// shiftPlan draws bursts and changes of the configuration.
func shiftPlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, shiftStream))
	var plan []fault
	for at := 4 * time.Second; at < span; at += time.Duration(500+random.IntN(2500)) * time.Millisecond {
		plan = append(plan, fault{
			At: at, Kind: shiftKinds[random.IntN(len(shiftKinds))], Target: random.IntN(1 << 16), Duration: time.Duration(500+random.IntN(2500)) * time.Millisecond,
		})
	}
	return plan
}

// arrival is the first arrival of a request at a server.
type arrival struct {
	at time.Time
	// from is the region of the instance that forwarded the request, and to that of the server.
	from, to string
}

// regionOf returns the region of a failure domain.
func regionOf(domain string) string {
	for _, d := range domains {
		if d.name == domain {
			return d.region
		}
	}
	return ""
}

// recordArrival records the regions of a request that reached a server for the first time; the caller holds the
// lock.
func (c *checker) recordArrival(server, id string, now time.Time) {
	if c.arrivalCounts[id] == 1 {
		c.arrivals = append(c.arrivals, arrival{now, c.regionOfInstance[c.sender[id]], regionOf(c.domainOf[server])})
	}
}

// CheckShifts checks that no region's requests changed the region in which they run by more than largestShift
// from one window to the next, wherever the windows begin.
func (c *checker) CheckShifts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) == 0 {
		c.violationf("no request reached a server")
		return
	}
	start, end := c.arrivals[0].at, c.arrivals[len(c.arrivals)-1].at
	for at := start.Add(shiftWindow); at.Add(shiftWindow).Before(end); at = at.Add(shiftStep) {
		before, after := c.sharesFrom(at.Add(-shiftWindow)), c.sharesFrom(at)
		for from := range after {
			c.checkShift(from, at.Sub(start), before[from], after[from])
		}
	}
}

// checkShift compares a region's requests in two windows; the caller holds the lock.
func (c *checker) checkShift(from string, at time.Duration, before, after map[string]int) {
	sentBefore, sentAfter := sum(before), sum(after)
	if sentBefore < minShiftRequests || sentAfter < minShiftRequests {
		c.counts["excused shifts"]++
		return
	}
	c.counts["checked shifts"]++
	for to := range after {
		change := float64(after[to])/float64(sentAfter) - float64(before[to])/float64(sentBefore)
		if change > largestShift {
			c.violationf("%.2f of the requests from %s moved to %s within %s at %s", change, from, to, shiftWindow, at)
		}
	}
}

// sharesFrom counts the requests of a window by the region that they are from and the one in which they run; the
// caller holds the lock.
func (c *checker) sharesFrom(start time.Time) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, a := range c.arrivals {
		if a.at.Before(start) || !a.at.Before(start.Add(shiftWindow)) {
			continue
		}
		if counts[a.from] == nil {
			counts[a.from] = make(map[string]int)
		}
		counts[a.from][a.to]++
	}
	return counts
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
