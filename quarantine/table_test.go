package quarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/quarantine"
)

var start = time.Unix(1000, 0)

// testTable is a Table with a manual clock.
type testTable struct {
	*quarantine.Table
	now time.Time
}

func newTestTable() *testTable {
	return &testTable{Table: quarantine.NewTable(), now: start}
}

func server(n int) quarantine.Server {
	return quarantine.Server{Name: fmt.Sprint("server-", n)}
}

// crash crashes a server with requests in flight.
func (tb *testTable) crash(n int, requests ...uint64) {
	tb.now = tb.now.Add(400 * time.Millisecond)
	for _, r := range requests {
		tb.RecordLoss(server(n), r, tb.now, tb.now)
	}
	tb.RecordCrash(server(n), tb.now)
}

func (tb *testTable) evaluate(request uint64) quarantine.Decision {
	return tb.Evaluate(request, tb.now)
}

const poison, bystander, other = 1, 2, 3

func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	tb.crash(1, poison, 11, 12)
	c.Assert(tb.evaluate(poison), qt.Equals, quarantine.Decision{Suspect: true})
	tb.crash(2, poison, 13)
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsFalse)
	tb.crash(3, 14, poison)
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsTrue)
	// The requests that were in flight with it are cleared.
	for _, r := range []uint64{11, 12, 13, 14} {
		c.Assert(tb.evaluate(r), qt.Equals, quarantine.Decision{}, qt.Commentf("%d", r))
	}
}

// Two requests for the same object were sent to the same servers and were in flight at the same three crashes.
// Either may be the cause, so that neither is quarantined until the next crash or success distinguishes them.
func TestAmbiguousRequestsAreNotQuarantined(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 3 {
		tb.crash(n, bystander, poison)
	}
	c.Assert(tb.evaluate(poison), qt.Equals, quarantine.Decision{Suspect: true})
	c.Assert(tb.evaluate(bystander), qt.Equals, quarantine.Decision{Suspect: true})
	tb.crash(3, poison, other)
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsTrue)
	c.Assert(tb.evaluate(bystander), qt.Equals, quarantine.Decision{})
	c.Assert(tb.evaluate(other), qt.Equals, quarantine.Decision{})
}

func TestSuccessResolvesAmbiguity(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 3 {
		tb.crash(n, bystander, poison)
	}
	tb.now = tb.now.Add(time.Second)
	c.Assert(tb.RecordSuccess(bystander, tb.now), qt.IsTrue)
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsTrue)
	c.Assert(tb.evaluate(bystander), qt.Equals, quarantine.Decision{})
}

// Two requests that cannot be distinguished must not crash servers without limit.
func TestAmbiguousRequestsAreQuarantinedAfterFiveCrashes(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 4 {
		tb.crash(n, bystander, poison)
	}
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsFalse)
	tb.crash(4, bystander, poison)
	c.Assert(tb.evaluate(poison).Quarantined || tb.evaluate(bystander).Quarantined, qt.IsTrue)
}

// A lost answer or a reset connection is no crash if the server keeps running.
func TestUnconfirmedCrashDoesNotCount(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 9 {
		unconfirmed, changed := tb.RecordLoss(server(n), poison, tb.now, tb.now)
		c.Assert(unconfirmed, qt.IsTrue)
		c.Assert(changed, qt.IsFalse)
	}
	c.Assert(tb.evaluate(poison), qt.Equals, quarantine.Decision{})
	// Once the crash is confirmed, it counts against the requests that were in flight.
	tb.RecordCrash(server(0), tb.now)
	c.Assert(tb.evaluate(poison).Suspect, qt.IsTrue)
	tb.now = tb.now.Add(time.Minute)
	tb.Expire(tb.now)
	tb.RecordCrash(server(1), tb.now)
	tb.RecordCrash(server(2), tb.now)
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsFalse)
}

// A frequent request is in flight at many crashes, and succeeds between them.
func TestSucceedingRequestIsNeverQuarantined(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 30 {
		tb.crash(n, other)
		tb.now = tb.now.Add(100 * time.Millisecond)
		tb.RecordSuccess(other, tb.now)
		c.Assert(tb.evaluate(other).Quarantined, qt.IsFalse)
	}
}

func TestIncarnationsOfOneServerCountSeparately(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for incarnation := range int64(3) {
		s := quarantine.Server{Name: "server", Incarnation: incarnation + 1}
		tb.now = tb.now.Add(time.Second)
		tb.RecordLoss(s, poison, tb.now, tb.now)
		tb.RecordCrash(s, tb.now)
	}
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsTrue)
}

func TestQuarantineExpires(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 3 {
		tb.crash(n, poison)
	}
	until := tb.evaluate(poison).Until
	c.Assert(until.Sub(tb.now) > 5*time.Minute, qt.IsTrue)
	tb.now = until.Add(time.Second)
	tb.Expire(tb.now)
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsFalse)
	c.Assert(tb.Report(tb.now).IsEmpty(), qt.IsTrue)
}

// A success outweighs older crashes, in whatever order the reports arrive.
func TestLateCrashReportDoesNotUndoClearance(t *testing.T) {
	c := qt.New(t)
	first, second := newTestTable(), newTestTable()
	for n := range 2 {
		first.crash(n, other)
	}
	oldReport := first.Report(first.now)
	first.now = first.now.Add(5 * time.Second)
	c.Assert(first.RecordSuccess(other, first.now), qt.IsTrue)
	second.now = first.now
	c.Assert(second.Merge(first.Report(first.now), second.now), qt.IsTrue)
	second.Merge(oldReport, second.now.Add(-5*time.Second))
	second.crash(7, other)
	c.Assert(second.evaluate(other).Quarantined, qt.IsFalse)
	c.Assert(second.Merge(first.Report(first.now), second.now), qt.IsFalse)
}

// A success clears a request only of crashes before it. If it cleared a later crash as well, two instances that
// receive the same reports in different orders would disagree.
func TestClearanceDoesNotCoverLaterCrashes(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	tb.crash(9, other)
	c.Assert(tb.Merge(quarantine.Report{
		Crashes:    []quarantine.Crash{{Server: server(1), Losses: []quarantine.Loss{{Request: other, SentAge: time.Minute}}, Age: time.Minute}},
		Clearances: []quarantine.Clearance{{Request: other, Age: 30 * time.Second}},
	}, tb.now), qt.IsTrue)
	for n := range 2 {
		tb.crash(5+n, other)
	}
	c.Assert(tb.evaluate(other).Quarantined, qt.IsTrue)
}

// Instances that each see part of the crashes reach the same decision once they exchange reports.
func TestInstancesAgreeAfterExchange(t *testing.T) {
	c := qt.New(t)
	a, b := newTestTable(), newTestTable()
	a.crash(1, poison, 11)
	b.crash(1, 12)
	b.crash(2, poison)
	a.now = b.now
	a.crash(3, 13)
	b.crash(3, poison)
	c.Assert(a.evaluate(poison).Quarantined, qt.IsFalse)
	c.Assert(a.Merge(b.Report(b.now), a.now), qt.IsTrue)
	c.Assert(b.Merge(a.Report(a.now), b.now), qt.IsTrue)
	c.Assert(a.evaluate(poison).Quarantined, qt.IsTrue)
	c.Assert(b.evaluate(poison).Quarantined, qt.IsTrue)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(a.Merge(b.Report(b.now), a.now), qt.IsFalse)
}

// Hundreds of crashes with many requests each take bounded memory, and instances that learn of them in
// different orders keep the same ones.
func TestCrashesAreBounded(t *testing.T) {
	c := qt.New(t)
	a, b := newTestTable(), newTestTable()
	crashMany := func(tb *testTable, n int) {
		var requests []uint64
		for r := range 36 {
			requests = append(requests, uint64(1000+100*n+r))
		}
		tb.crash(n, requests...)
	}
	for n := range 3 {
		a.crash(1000+n, poison)
		b.crash(1000+n, poison)
	}
	for n := range 500 {
		crashMany(a, n)
		crashMany(b, 499-n)
	}
	c.Assert(len(a.Report(a.now).Crashes), qt.Equals, 128)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(a.evaluate(poison).Quarantined, qt.IsTrue)
}

// A failure domain loses all its servers at the same time, and a request that its client had retried was in
// flight on all of them. That is a single failure, whatever its cause, and no reason to quarantine the
// request.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 6 {
		at := tb.now.Add(time.Duration(n) * 20 * time.Millisecond)
		tb.RecordLoss(server(n), other, tb.now, at)
		tb.RecordCrash(server(n), at)
	}
	c.Assert(tb.evaluate(other), qt.Equals, quarantine.Decision{Suspect: true})
	for n := range 2 {
		tb.crash(10+n, other)
	}
	c.Assert(tb.evaluate(other).Quarantined, qt.IsTrue)
}

// A request that many clients send every second is in flight at three crashes with another cause, and succeeds
// elsewhere between them. It must not become a suspect.
func TestRecentSuccessPreventsSuspicion(t *testing.T) {
	c := qt.New(t)
	tb := newTestTable()
	for n := range 3 {
		tb.RecordSuccess(other, tb.now)
		tb.now = tb.now.Add(time.Second)
		tb.crash(n, other, poison)
		c.Assert(tb.evaluate(other), qt.Equals, quarantine.Decision{})
	}
	c.Assert(tb.evaluate(poison).Quarantined, qt.IsTrue)
	// A request that used to succeed may start to crash servers.
	tb.RecordSuccess(14, tb.now)
	tb.now = tb.now.Add(time.Minute)
	for n := range 3 {
		tb.crash(20+n, 14)
	}
	c.Assert(tb.evaluate(14).Quarantined, qt.IsTrue)
}

// One request that crashes servers runs among many others. All are retried after a crash, on random servers
// once they are suspects. The poison request must be quarantined after at most four crashes, and no other
// request ever.
func TestOnlyPoisonRequestIsQuarantined(t *testing.T) {
	const servers, inFlight, seeds = 12, 30, 200
	for seed := range uint64(seeds) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, seed))
		tb := newTestTable()
		incarnation := 0
		serverOf := make(map[uint64]int)
		nextRequest := uint64(100)
		place := func(request uint64, home int) {
			serverOf[request] = home
			if tb.evaluate(request).Suspect {
				serverOf[request] = random.IntN(servers)
			}
		}
		for range inFlight {
			nextRequest++
			// Initially all requests are for the same object, and so on the same server.
			place(nextRequest, 0)
		}
		crashes := 0
		for ; !tb.evaluate(poison).Quarantined && crashes < 9; crashes++ {
			place(poison, 0)
			var lost []uint64
			for _, request := range slices.Sorted(maps.Keys(serverOf)) {
				if serverOf[request] == serverOf[poison] {
					lost = append(lost, request)
				}
			}
			incarnation++
			tb.crash(incarnation, lost...)
			for _, request := range lost {
				place(request, 0)
			}
			// Some requests complete, and new ones start.
			for _, request := range slices.Sorted(maps.Keys(serverOf)) {
				if request != poison && random.IntN(4) == 0 {
					tb.RecordSuccess(request, tb.now)
					delete(serverOf, request)
					nextRequest++
					place(nextRequest, 0)
				}
			}
		}
		c.Assert(crashes <= 4, qt.IsTrue, qt.Commentf("seed %d: %d servers crashed", seed, crashes))
		for _, q := range tb.Quarantined() {
			c.Assert(q.Request, qt.Equals, uint64(poison), qt.Commentf("seed %d", seed))
		}
	}
}
