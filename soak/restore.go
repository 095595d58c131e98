package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lovageyard.example/lovageyard/platform/fake"
)

// Timing of restores of the store.
const (
	// restoreOutage is how long the store is away, and rewriteDelay the longest time after its return until the
	// operator and the servers write again what it has lost.
	restoreOutage = 400 * time.Millisecond
	rewriteDelay  = 1500 * time.Millisecond
	// lateAnswers is the delay of answers that the store has made before a restore.
	lateAnswers = 300 * time.Millisecond
	// overtakingWrites is the number of writes after a restore by which versions pass those of before.
	overtakingWrites = 200
)

// Ways in which the store is away around a restore.
const (
	restoreRefusing = iota
	restoreSilent
	restoreWithLateAnswers
	restoreOvertaking
	restoreWays
)

// addRestores adds restores of the store from copies of 1 to 5 s of age to a plan. One in three is followed by
// a second one.
func addRestores(plan []fault, seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, restoreStream))
	for at := 500 * time.Millisecond; ; {
		f := fault{At: at, Kind: restoreStore, Target: random.IntN(1 << 16), Duration: time.Duration(1000+random.IntN(4000)) * time.Millisecond}
		if f.At+f.Duration > span {
			break
		}
		plan = append(plan, f)
		at += f.Duration + time.Duration(500+random.IntN(2500))*time.Millisecond
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}

// restoreStore copies the store, and after the duration of the fault restores it from the copy.
func (d *deployment) restoreStore(f fault) {
	copied := d.store.Checkpoint()
	time.Sleep(f.Duration)
	start := time.Now()
	random := rand.New(rand.NewPCG(uint64(f.Target), restoreStream))
	d.restoreFrom(copied, f.Target%restoreWays)
	if random.IntN(3) == 0 {
		copied = d.store.Checkpoint()
		d.configure()
		time.Sleep(time.Duration(random.Int64N(int64(rewriteDelay))))
		d.restoreFrom(copied, random.IntN(restoreWays))
	}
	time.Sleep(time.Duration(random.Int64N(int64(rewriteDelay))))
	d.rewrite()
	d.check.RecordFault(affectsStore, start, time.Now())
}

// rewrite lets the operator and the servers write again what a restore has undone. A server whose entry was lost
// registers again, also over an entry that another program has written since.
func (d *deployment) rewrite() {
	d.store.Rewrite()
	d.recordOverwrites()
}

// recordOverwrites records which of the overwritten servers have their own entries in the store again, as a restore
// or the server has undone what another program had written, and which have that program's entry again.
func (d *deployment) recordOverwrites() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, overwritten := range d.overwritten {
		switch {
		case !overwritten:
		case d.store.HasLast("servers", name):
			d.check.RecordReturn(name)
		case d.store.HasForeign("servers", name):
			d.check.RecordLeaving(name)
		}
	}
}

// restoreFrom restores the store, which is away for a moment in one of several ways.
func (d *deployment) restoreFrom(copied fake.Checkpoint, way int) {
	switch way {
	case restoreRefusing, restoreOvertaking:
		d.store.SetFaults(fake.StoreFaults{Status: http.StatusServiceUnavailable})
	case restoreSilent:
		d.store.SetFaults(fake.StoreFaults{Hang: true})
	case restoreWithLateAnswers:
		d.store.SetFaults(fake.StoreFaults{AnswerDelay: lateAnswers})
	}
	time.Sleep(restoreOutage / 2)
	d.store.Restore(copied)
	d.recordOverwrites()
	if way == restoreOvertaking {
		d.rewrite()
		for n := range overtakingWrites {
			d.store.Put("filler", strconv.Itoa(n), n)
		}
	}
	time.Sleep(restoreOutage / 2)
	d.store.SetFaults(fake.StoreFaults{})
}
