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

// play is a Table with a clock.
type play struct {
	*quarantine.Table
	now time.Time
}

func newPlay() *play {
	return &play{Table: quarantine.NewTable(), now: start}
}

func server(n int) quarantine.Server {
	return quarantine.Server{Name: fmt.Sprint("server-", n)}
}

// end lets a server end while it has requests.
func (p *play) end(n int, requests ...uint64) {
	p.now = p.now.Add(400 * time.Millisecond)
	for _, r := range requests {
		p.RecordLoss(server(n), r, p.now, p.now)
	}
	p.RecordCrash(server(n), p.now)
}

func (p *play) judge(request uint64) quarantine.Decision {
	return p.Evaluate(request, p.now)
}

const deadly, beside, other = 1, 2, 3

func TestRequestIsHeldAfterThreeEnds(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	p.end(1, deadly, 11, 12)
	c.Assert(p.judge(deadly), qt.Equals, quarantine.Decision{Suspect: true})
	p.end(2, deadly, 13)
	c.Assert(p.judge(deadly).Quarantined, qt.IsFalse)
	p.end(3, 14, deadly)
	c.Assert(p.judge(deadly).Quarantined, qt.IsTrue)
	// What was beside it is as good as any other.
	for _, r := range []uint64{11, 12, 13, 14} {
		c.Assert(p.judge(r), qt.Equals, quarantine.Decision{}, qt.Commentf("%d", r))
	}
}

// Two requests of one object went to the same servers, and were at the same three ends. Either may be
// the cause, so that neither is refused; the next end, or an answer, tells.
func TestRequestThatWasAtTheSameEndsIsNotHeld(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 3 {
		p.end(n, beside, deadly)
	}
	c.Assert(p.judge(deadly), qt.Equals, quarantine.Decision{Suspect: true})
	c.Assert(p.judge(beside), qt.Equals, quarantine.Decision{Suspect: true})
	p.end(3, deadly, other)
	c.Assert(p.judge(deadly).Quarantined, qt.IsTrue)
	c.Assert(p.judge(beside), qt.Equals, quarantine.Decision{})
	c.Assert(p.judge(other), qt.Equals, quarantine.Decision{})
}

func TestAnswerTellsWhichOfTwoIsTheCause(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 3 {
		p.end(n, beside, deadly)
	}
	p.now = p.now.Add(time.Second)
	c.Assert(p.RecordSuccess(beside, p.now), qt.IsTrue)
	c.Assert(p.judge(deadly).Quarantined, qt.IsTrue)
	c.Assert(p.judge(beside), qt.Equals, quarantine.Decision{})
}

// If all that is known of two requests stays the same, servers must not go on ending.
func TestRequestsThatNothingTellsApartAreHeldAfterFiveEnds(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 4 {
		p.end(n, beside, deadly)
	}
	c.Assert(p.judge(deadly).Quarantined, qt.IsFalse)
	p.end(4, beside, deadly)
	c.Assert(p.judge(deadly).Quarantined || p.judge(beside).Quarantined, qt.IsTrue)
}

// Answers get lost, and connections are reset, at servers that go on.
func TestServerThatGoesOnCountsAgainstNobody(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 9 {
		open, news := p.RecordLoss(server(n), deadly, p.now, p.now)
		c.Assert(open, qt.IsTrue)
		c.Assert(news, qt.IsFalse)
	}
	c.Assert(p.judge(deadly), qt.Equals, quarantine.Decision{})
	// Once it is known that they have ended, what was there counts.
	p.RecordCrash(server(0), p.now)
	c.Assert(p.judge(deadly).Suspect, qt.IsTrue)
	p.now = p.now.Add(time.Minute)
	p.Expire(p.now)
	p.RecordCrash(server(1), p.now)
	p.RecordCrash(server(2), p.now)
	c.Assert(p.judge(deadly).Quarantined, qt.IsFalse)
}

// A request that everyone asks for is at many ends and answered well in between.
func TestRequestThatIsAnsweredIsNeverHeld(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 30 {
		p.end(n, other)
		p.now = p.now.Add(100 * time.Millisecond)
		p.RecordSuccess(other, p.now)
		c.Assert(p.judge(other).Quarantined, qt.IsFalse)
	}
}

func TestLivesOfOneServerCountApart(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for life := range int64(3) {
		s := quarantine.Server{Name: "server", Incarnation: life + 1}
		p.now = p.now.Add(time.Second)
		p.RecordLoss(s, deadly, p.now, p.now)
		p.RecordCrash(s, p.now)
	}
	c.Assert(p.judge(deadly).Quarantined, qt.IsTrue)
}

func TestHoldEnds(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 3 {
		p.end(n, deadly)
	}
	until := p.judge(deadly).Until
	c.Assert(until.Sub(p.now) > 5*time.Minute, qt.IsTrue)
	p.now = until.Add(time.Second)
	p.Expire(p.now)
	c.Assert(p.judge(deadly).Quarantined, qt.IsFalse)
	c.Assert(p.Report(p.now).IsEmpty(), qt.IsTrue)
}

// Word that a request was answered well holds against older word of crashes, in whatever order both come.
func TestLateWordOfCrashesDoesNotUndoAClearance(t *testing.T) {
	c := qt.New(t)
	first, second := newPlay(), newPlay()
	for n := range 2 {
		first.end(n, other)
	}
	old := first.Report(first.now)
	first.now = first.now.Add(5 * time.Second)
	c.Assert(first.RecordSuccess(other, first.now), qt.IsTrue)
	second.now = first.now
	c.Assert(second.Merge(first.Report(first.now), second.now), qt.IsTrue)
	second.Merge(old, second.now.Add(-5*time.Second))
	second.end(7, other)
	c.Assert(second.judge(other).Quarantined, qt.IsFalse)
	c.Assert(second.Merge(first.Report(first.now), second.now), qt.IsFalse)
}

// An instance saw an end, and hears then of an older one and of a good answer between. The answer speaks
// for the request up to its time only: what was seen later still counts. Found by random play, as
// "held: [{2 [server-3 server-4 server-5]}] and []" of two instances that knew the same.
func TestOldClearanceLeavesLaterEnds(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	p.end(9, other)
	c.Assert(p.Merge(quarantine.Report{
		Crashes:    []quarantine.Crash{{Server: server(1), Losses: []quarantine.Loss{{Request: other, SentAge: time.Minute}}, Age: time.Minute}},
		Clearances: []quarantine.Clearance{{Request: other, Age: 30 * time.Second}},
	}, p.now), qt.IsTrue)
	for n := range 2 {
		p.end(5+n, other)
	}
	c.Assert(p.judge(other).Quarantined, qt.IsTrue)
}

// Instances that see parts of it, and tell each other, think the same.
func TestInstancesThatTellEachOtherAgree(t *testing.T) {
	c := qt.New(t)
	a, b := newPlay(), newPlay()
	a.end(1, deadly, 11)
	b.end(1, 12)
	b.end(2, deadly)
	a.now = b.now
	a.end(3, 13)
	b.end(3, deadly)
	c.Assert(a.judge(deadly).Quarantined, qt.IsFalse)
	c.Assert(a.Merge(b.Report(b.now), a.now), qt.IsTrue)
	c.Assert(b.Merge(a.Report(a.now), b.now), qt.IsTrue)
	c.Assert(a.judge(deadly).Quarantined, qt.IsTrue)
	c.Assert(b.judge(deadly).Quarantined, qt.IsTrue)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(a.Merge(b.Report(b.now), a.now), qt.IsFalse)
}

// A day on which hundreds of servers end, each with all that it had, takes little room, and instances
// that hear of it in different orders remember the same.
func TestManyEndsTakeLittleRoom(t *testing.T) {
	c := qt.New(t)
	a, b := newPlay(), newPlay()
	fill := func(p *play, n int) {
		var requests []uint64
		for r := range 36 {
			requests = append(requests, uint64(1000+100*n+r))
		}
		p.end(n, requests...)
	}
	for n := range 3 {
		a.end(1000+n, deadly)
		b.end(1000+n, deadly)
	}
	for n := range 500 {
		fill(a, n)
		fill(b, 499-n)
	}
	c.Assert(len(a.Report(a.now).Crashes), qt.Equals, 128)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(a.judge(deadly).Quarantined, qt.IsTrue)
}

// A failure domain loses its servers at once. A request that a client had sent again and again was at
// all of them: that is one failure, whatever its cause, and no reason to refuse the request.
func TestServersThatEndTogetherCountOnce(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 6 {
		at := p.now.Add(time.Duration(n) * 20 * time.Millisecond)
		p.RecordLoss(server(n), other, p.now, at)
		p.RecordCrash(server(n), at)
	}
	c.Assert(p.judge(other), qt.Equals, quarantine.Decision{Suspect: true})
	for n := range 2 {
		p.end(10+n, other)
	}
	c.Assert(p.judge(other).Quarantined, qt.IsTrue)
}

// Many callers ask for the same, each second. It was at three servers that others ended, one after
// the other, and was answered well at the rest all the while.
func TestRequestThatWasAnsweredAMomentAgoIsNoSuspect(t *testing.T) {
	c := qt.New(t)
	p := newPlay()
	for n := range 3 {
		p.RecordSuccess(other, p.now)
		p.now = p.now.Add(time.Second)
		p.end(n, other, deadly)
		c.Assert(p.judge(other), qt.Equals, quarantine.Decision{})
	}
	c.Assert(p.judge(deadly).Quarantined, qt.IsTrue)
	// What was answered well for long may still end servers from one moment on.
	p.RecordSuccess(14, p.now)
	p.now = p.now.Add(time.Minute)
	for n := range 3 {
		p.end(20+n, 14)
	}
	c.Assert(p.judge(14).Quarantined, qt.IsTrue)
}

// Random play: one deadly request among many, each of which is repeated after an end, as callers and
// instances do, to servers that are drawn apart once it is a suspect. The deadly one is held soon, and no other.
func TestOnlyTheDeadlyRequestIsHeld(t *testing.T) {
	const servers, inFlight, seeds = 12, 30, 200
	for seed := range uint64(seeds) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, seed))
		p := newPlay()
		life := 0
		at := make(map[uint64]int)
		next := uint64(100)
		place := func(request uint64, home int) {
			at[request] = home
			if p.judge(request).Suspect {
				at[request] = random.IntN(servers)
			}
		}
		for range inFlight {
			next++
			// All concern one object at first.
			place(next, 0)
		}
		ends := 0
		for ; !p.judge(deadly).Quarantined && ends < 9; ends++ {
			place(deadly, 0)
			var lost []uint64
			for _, request := range slices.Sorted(maps.Keys(at)) {
				if at[request] == at[deadly] {
					lost = append(lost, request)
				}
			}
			life++
			p.end(life, lost...)
			for _, request := range lost {
				place(request, 0)
			}
			// Some end well, and others begin.
			for _, request := range slices.Sorted(maps.Keys(at)) {
				if request != deadly && random.IntN(4) == 0 {
					p.RecordSuccess(request, p.now)
					delete(at, request)
					next++
					place(next, 0)
				}
			}
		}
		c.Assert(ends <= 4, qt.IsTrue, qt.Commentf("seed %d: %d servers ended", seed, ends))
		for _, h := range p.Quarantined() {
			c.Assert(h.Request, qt.Equals, uint64(deadly), qt.Commentf("seed %d", seed))
		}
	}
}
