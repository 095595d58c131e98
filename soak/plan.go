package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is one kind of fault or of planned work.
type kind string

// The kinds. Each has a target that is drawn: an instance, a server, or nothing.
const (
	pauseInstance   kind = "pause-instance"
	killInstance    kind = "kill-instance"
	restartInstance kind = "restart-instance"
	storeDown       kind = "store-down"
	storeSilent     kind = "store-silent"
	storeSlow       kind = "store-slow"
	storeLost       kind = "store-lost"
	storeLate       kind = "store-late"
	storeForgets    kind = "store-forgets"
	cutFromStore    kind = "cut-from-store"
	delayServer     kind = "delay-server"
	silenceServer   kind = "silence-server"
	oneWayServer    kind = "one-way-server"
	resetServer     kind = "reset-server"
	crashServer     kind = "crash-server"
	spoilAnswers    kind = "spoil-answers"
	loseAnswers     kind = "lose-answers"
	doubleAnswers   kind = "double-answers"
	failRequests    kind = "fail-requests"
	shedRequests    kind = "shed-requests"
	replaceServer   kind = "replace-server"
	drainDomain     kind = "drain-domain"
	configure       kind = "configure"
	burst           kind = "burst"

	restartServer      kind = "restart-server"
	foreignEntry       kind = "foreign-entry"
	largeConfiguration kind = "large-configuration"
	narrowStore        kind = "narrow-store"

	deadlyRequest   kind = "deadly-request"
	replaceVersions kind = "replace-versions"
)

// faultKinds disturb; planned kinds are what operators do on any day.
var (
	faultKinds = []kind{
		pauseInstance, killInstance, storeDown, storeSilent, storeSlow, storeLost, storeLate, storeForgets, cutFromStore,
		delayServer, silenceServer, oneWayServer, resetServer, crashServer, spoilAnswers, loseAnswers, doubleAnswers,
		failRequests, shedRequests, burst,
	}
	plannedKinds = []kind{restartInstance, replaceServer, drainDomain, configure}
	// furtherKinds have a plan of their own, so that the seeds of the others keep their plans.
	furtherKinds = []kind{restartServer, foreignEntry, largeConfiguration, narrowStore}
)

// Streams of random numbers, which tell those of further plans from those of the first one.
const (
	furtherStream = 1
	deadlyStream  = 2
	versionStream = 3
)

// fault is one entry of a plan.
type fault struct {
	At     time.Duration
	For    time.Duration
	Kind   kind
	Target int
}

func (f fault) String() string {
	return fmt.Sprintf("%7s %-16s target %d for %s", f.At.Round(10*time.Millisecond), f.Kind, f.Target, f.For.Round(10*time.Millisecond))
}

// makePlan draws faults and planned work for a span; they overlap and come in series.
func makePlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []fault
	for at := time.Second; at < span; {
		list := faultKinds
		if random.IntN(3) == 0 {
			list = plannedKinds
		}
		f := fault{Kind: list[random.IntN(len(list))], Target: random.IntN(1 << 16), For: time.Duration(500+random.IntN(3500)) * time.Millisecond}
		// One in four comes as a series.
		count := 1
		if random.IntN(4) == 0 {
			count = 2 + random.IntN(2)
		}
		for i := range count {
			f.At = at + time.Duration(i)*f.For*3/2
			plan = append(plan, f)
			f.Target++
		}
		at += time.Duration(200+random.IntN(1600)) * time.Millisecond
	}
	plan = slices.DeleteFunc(plan, func(f fault) bool { return f.At+f.For > span })
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// withFurther adds the further kinds to a plan, each drawn once in about three seconds.
func withFurther(plan []fault, seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, furtherStream))
	for at := time.Second; ; {
		f := fault{At: at, Kind: furtherKinds[random.IntN(len(furtherKinds))], Target: random.IntN(1 << 16), For: time.Duration(1000+random.IntN(4000)) * time.Millisecond}
		if f.At+f.For > span {
			break
		}
		plan = append(plan, f)
		at += time.Duration(500+random.IntN(1500)) * time.Millisecond
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// withDeadly adds two deadly requests to a plan, each of them sent for a third of the span.
func withDeadly(plan []fault, seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, deadlyStream))
	for n := range 2 {
		at := time.Second + time.Duration(random.Int64N(int64(span/2)))
		plan = append(plan, fault{At: at, Kind: deadlyRequest, Target: 2*random.IntN(1<<15) + n, For: span / 3})
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// isPlanned says whether a kind is planned work, around which no request may be cut.
func (k kind) isPlanned() bool {
	return slices.Contains(plannedKinds, k) || slices.Contains([]kind{largeConfiguration, replaceVersions, limitServer, backOffServer, leaveInAnswers}, k)
}
