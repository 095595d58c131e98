package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault or of planned operation.
type kind string

// Kinds of faults and planned operations; the values name them in plans and counters. Each is applied to a
// randomly drawn target, which is an instance, a server, a failure domain, or nothing for those of the store.
const (
	pauseInstance      kind = "pause-instance"
	killInstance       kind = "kill-instance"
	restartInstance    kind = "restart-instance"
	storeDown          kind = "store-down"
	storeHangs         kind = "store-silent"
	storeSlow          kind = "store-slow"
	storeLosesAnswers  kind = "store-lost"
	storeDelaysWrites  kind = "store-late"
	storeDropsHistory  kind = "store-forgets"
	cutFromStore       kind = "cut-from-store"
	delayServer        kind = "delay-server"
	dropServerAnswers  kind = "silence-server"
	dropServerRequests kind = "one-way-server"
	resetServer        kind = "reset-server"
	crashServer        kind = "crash-server"
	truncateAnswers    kind = "spoil-answers"
	loseAnswers        kind = "lose-answers"
	duplicateAnswers   kind = "double-answers"
	failRequests       kind = "fail-requests"
	rejectRequests     kind = "shed-requests"
	replaceServer      kind = "replace-server"
	drainDomain        kind = "drain-domain"
	configure          kind = "configure"
	burst              kind = "burst"

	restartServer      kind = "restart-server"
	foreignEntry       kind = "foreign-entry"
	largeConfiguration kind = "large-configuration"
	narrowStore        kind = "narrow-store"

	poisonRequest   kind = "deadly-request"
	replaceVersions kind = "replace-versions"
	restoreStore    kind = "restore-store"
)

// faultKinds disturb the system; plannedKinds are routine operations, during which no request may be cut.
var (
	faultKinds = []kind{
		pauseInstance, killInstance, storeDown, storeHangs, storeSlow, storeLosesAnswers, storeDelaysWrites, storeDropsHistory, cutFromStore,
		delayServer, dropServerAnswers, dropServerRequests, resetServer, crashServer, truncateAnswers, loseAnswers, duplicateAnswers,
		failRequests, rejectRequests, burst,
	}
	plannedKinds = []kind{restartInstance, replaceServer, drainDomain, configure}
	// furtherKinds are drawn separately, so that the plans of older seeds stay the same.
	furtherKinds = []kind{restartServer, foreignEntry, largeConfiguration, narrowStore}
)

// Streams of random numbers, which make the plans of one seed independent of each other.
const (
	furtherStream = 1
	poisonStream  = 2
	versionStream = 3
	restoreStream = 4
)

// fault is one entry of a plan. At is relative to the start of the run.
type fault struct {
	At       time.Duration
	Duration time.Duration
	Kind     kind
	Target   int
}

func (f fault) String() string {
	return fmt.Sprintf("%7s %-16s target %d for %s", f.At.Round(10*time.Millisecond), f.Kind, f.Target, f.Duration.Round(10*time.Millisecond))
}

// makePlan draws faults and planned operations that all end within a time span. They may overlap, and
// some come as a series on adjacent targets.
func makePlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []fault
	for at := time.Second; at < span; {
		list := faultKinds
		if random.IntN(3) == 0 {
			list = plannedKinds
		}
		f := fault{Kind: list[random.IntN(len(list))], Target: random.IntN(1 << 16), Duration: time.Duration(500+random.IntN(3500)) * time.Millisecond}
		// One in four is a series.
		count := 1
		if random.IntN(4) == 0 {
			count = 2 + random.IntN(2)
		}
		for i := range count {
			f.At = at + time.Duration(i)*f.Duration*3/2
			plan = append(plan, f)
			f.Target++
		}
		at += time.Duration(200+random.IntN(1600)) * time.Millisecond
	}
	plan = slices.DeleteFunc(plan, func(f fault) bool { return f.At+f.Duration > span })
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// addFurther adds faults of furtherKinds to a plan, at random intervals of 0.5 to 2 s.
func addFurther(plan []fault, seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, furtherStream))
	for at := time.Second; ; {
		f := fault{At: at, Kind: furtherKinds[random.IntN(len(furtherKinds))], Target: random.IntN(1 << 16), Duration: time.Duration(1000+random.IntN(4000)) * time.Millisecond}
		if f.At+f.Duration > span {
			break
		}
		plan = append(plan, f)
		at += time.Duration(500+random.IntN(1500)) * time.Millisecond
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// addPoison adds two poison requests to a plan, each of them sent for a third of the span.
func addPoison(plan []fault, seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, poisonStream))
	for n := range 2 {
		at := time.Second + time.Duration(random.Int64N(int64(span/2)))
		plan = append(plan, fault{At: at, Kind: poisonRequest, Target: 2*random.IntN(1<<15) + n, Duration: span / 3})
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// isPlanned reports whether a kind is a planned operation or backpressure, during which no request may be cut.
func (k kind) isPlanned() bool {
	return slices.Contains(plannedKinds, k) || slices.Contains([]kind{largeConfiguration, replaceVersions, restoreStore, limitServer, backOffServer, leaveInAnswers}, k)
}
