package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of a plan of restarts.
const (
	restartStream = 5
	// restartsFrom is when restarts begin: instances have then run for long enough to spend their shares of the
	// limits.
	restartsFrom = retryWindow + 1500*time.Millisecond
	// killTail is the time that the last restart has before the end of the span.
	killTail = 2 * time.Second
)

// Ways in which instances are restarted, each for a part of the span.
const (
	restartAllAtOnce = iota
	restartInTurn
	restartAllTwice
	restartWays
)

// restartPlan kills instances in series while all servers reject some of the requests, so that each incarnation
// wants to repeat them.
func restartPlan(seed uint64, span time.Duration, instances, servers int) []fault {
	random := rand.New(rand.NewPCG(seed, restartStream))
	var plan []fault
	for n := range servers {
		plan = append(plan, fault{At: restartsFrom - time.Second, Kind: rejectRequests, Target: n, Duration: span - restartsFrom})
	}
	kill := func(at time.Duration, targets ...int) {
		for _, n := range targets {
			plan = append(plan, fault{At: at, Kind: killInstance, Target: n, Duration: restartDelay})
		}
	}
	var all []int
	for n := range instances {
		all = append(all, n)
	}
	for at := restartsFrom; at < span-killTail; {
		period := time.Duration(600+random.IntN(600)) * time.Millisecond
		switch random.IntN(restartWays) {
		case restartAllAtOnce:
			kill(at, all...)
			at += period
		case restartInTurn:
			for _, n := range random.Perm(instances) {
				kill(at, n)
				at += period / time.Duration(instances)
			}
		case restartAllTwice:
			kill(at, all...)
			kill(at+period, all...)
			at += 3 * period
		}
	}
	plan = slices.DeleteFunc(plan, func(f fault) bool { return f.At > span-killTail })
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}
