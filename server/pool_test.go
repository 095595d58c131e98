package server

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

var testStart = time.Unix(1000, 0)

func servers(count, slots int) []lovageyard.BackendServer {
	var list []lovageyard.BackendServer
	for n := range count {
		list = append(list, lovageyard.BackendServer{
			Name:  fmt.Sprintf("server-%d", n+1),
			Slots: slots,
			State: lovageyard.StateLive,
		})
	}
	return list
}

func newTestPool(mode Mode, count, slots, instances int) *Pool {
	p := NewPool(Settings{Mode: mode, QueuePerSlot: 1, Instances: instances}, 1)
	p.SetServers(servers(count, slots))
	return p
}

func newRequest(at time.Time, deadline time.Duration, importance int) Request {
	return Request{Now: at, Deadline: at.Add(deadline), Importance: importance}
}

func success(at time.Time, took time.Duration) lovageyard.Outcome {
	return lovageyard.Outcome{At: at, Duration: took}
}

func TestPoolFillsSlotsThenQueuesThenRefuses(t *testing.T) {
	for _, mode := range []Mode{Shared, Split, LeastInFlight} {
		t.Run(string(mode), func(t *testing.T) {
			c := qt.New(t)
			p := newTestPool(mode, 2, 3, 1)
			var sent []Result
			for range 6 {
				r, w := p.Acquire(newRequest(testStart, time.Minute, 5))
				c.Assert(w, qt.IsNil)
				c.Assert(r.Err == nil, qt.IsTrue)
				sent = append(sent, r)
			}
			for range 6 {
				_, w := p.Acquire(newRequest(testStart, time.Minute, 5))
				c.Assert(w, qt.IsNotNil)
			}
			r, w := p.Acquire(newRequest(testStart, time.Minute, 5))
			c.Assert(w, qt.IsNil)
			c.Assert(r.Err.Verdict, qt.Equals, lovageyard.VerdictNotRun)
			c.Assert(p.Stats(testStart).InFlight, qt.Equals, 6)
			p.Release(sent[0], success(testStart, time.Millisecond))
			c.Assert(p.Stats(testStart).InFlight, qt.Equals, 6)
			c.Assert(p.Stats(testStart).Queued, qt.Equals, 5)
		})
	}
}

func TestPoolServesEarliestDeadlineFirst(t *testing.T) {
	c := qt.New(t)
	p := newTestPool(Shared, 1, 1, 1)
	running, _ := p.Acquire(newRequest(testStart, time.Minute, 5))
	_, late := p.Acquire(newRequest(testStart, 50*time.Second, 5))
	c.Assert(late, qt.IsNotNil)
	p.settings.QueuePerSlot = 2
	_, early := p.Acquire(newRequest(testStart, 10*time.Second, 5))
	c.Assert(early, qt.IsNotNil)
	p.Release(running, success(testStart, time.Millisecond))
	c.Assert(len(early.Result()), qt.Equals, 1)
	c.Assert(len(late.Result()), qt.Equals, 0)
	c.Assert(p.Cancel(late), qt.IsTrue)
	c.Assert(p.Cancel(early), qt.IsFalse)
}

func TestPoolRefusesLeastImportantFirst(t *testing.T) {
	c := qt.New(t)
	p := newTestPool(Shared, 1, 1, 1)
	p.Acquire(newRequest(testStart, time.Minute, 5))
	_, low := p.Acquire(newRequest(testStart, time.Minute, 2))
	_, high := p.Acquire(newRequest(testStart, time.Minute, 9))
	c.Assert(high, qt.IsNotNil)
	r := <-low.Result()
	c.Assert(r.Err.Verdict, qt.Equals, lovageyard.VerdictNotRun)
}

func TestPoolRefusesRequestsPastDeadline(t *testing.T) {
	c := qt.New(t)
	p := newTestPool(Shared, 1, 1, 1)
	r, _ := p.Acquire(newRequest(testStart, time.Minute, 5))
	p.Release(r, success(testStart, 100*time.Millisecond))
	p.Acquire(newRequest(testStart, time.Minute, 5))
	r, w := p.Acquire(newRequest(testStart, 150*time.Millisecond, 5))
	c.Assert(w, qt.IsNil)
	c.Assert(r.Err, qt.ErrorMatches, "the deadline can't be met")
	c.Assert(r.RetryAfter > 0, qt.IsTrue)
	_, w = p.Acquire(newRequest(testStart, 250*time.Millisecond, 5))
	c.Assert(w, qt.IsNotNil)
	p.Expire(testStart.Add(249 * time.Millisecond))
	c.Assert((<-w.Result()).Err.Verdict, qt.Equals, lovageyard.VerdictNotRun)
}

func TestPoolSharesSlots(t *testing.T) {
	c := qt.New(t)
	p := newTestPool(Shared, 1, 8, 2)
	// The server reports that other instances use all but one of its slots.
	p.ObserveReport("server-1", lovageyard.LoadReport{Slots: 8, InFlight: 7}, testStart)
	sent := 0
	for range 8 {
		if _, w := p.Acquire(newRequest(testStart, time.Minute, 5)); w == nil {
			sent++
		}
	}
	c.Assert(sent, qt.Equals, 4, qt.Commentf("the equal share may always be used, but no more while other instances use the rest"))
	later := testStart.Add(maxReportAge)
	p.Expire(later)
	c.Assert(p.Stats(later).InFlight, qt.Equals, 8, qt.Commentf("an expired report is ignored"))
}

func TestPoolStates(t *testing.T) {
	for _, test := range []struct {
		name      string
		change    func(p *Pool)
		available int
	}{
		{"listed", func(*Pool) {}, 2},
		{"suspect", func(p *Pool) { p.MarkUnreachable("server-1") }, 1},
		{"suspect that answers a probe", func(p *Pool) {
			p.MarkUnreachable("server-1")
			p.ObserveReport("server-1", lovageyard.LoadReport{Slots: 2}, testStart)
		}, 2},
		{"marked as leaving", func(p *Pool) { p.SetState("server-1", lovageyard.StateLeaving) }, 1},
		{"leaving and suspect", func(p *Pool) {
			p.SetState("server-1", lovageyard.StateLeaving)
			p.MarkUnreachable("server-1")
			p.ObserveReport("server-1", lovageyard.LoadReport{Slots: 2}, testStart)
		}, 1},
		{"returned after leaving", func(p *Pool) {
			p.SetState("server-1", lovageyard.StateLeaving)
			p.SetState("server-1", lovageyard.StateLive)
		}, 2},
		{"reports itself as leaving", func(p *Pool) {
			p.ObserveReport("server-1", lovageyard.LoadReport{Leaving: true}, testStart)
		}, 1},
		{"unlisted", func(p *Pool) { p.SetServers(servers(1, 2)) }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPool(Shared, 2, 2, 1)
			test.change(p)
			c.Assert(p.Stats(testStart).Available, qt.Equals, test.available)
		})
	}
}

func TestPoolRampsUpNewServers(t *testing.T) {
	c := qt.New(t)
	p := newTestPool(Shared, 1, 8, 1)
	p.SetServers(servers(2, 8))
	joined := p.find("server-2")
	c.Assert(joined.state, qt.Equals, stateCold)
	c.Assert(joined.limit(), qt.Equals, 1)
	for range warmUpResponses {
		joined.applyResponse(success(testStart, time.Millisecond))
	}
	c.Assert(joined.state, qt.Equals, stateReady)
	c.Assert(joined.limit(), qt.Equals, 8)
}

func TestPoolAvoidsFailedServer(t *testing.T) {
	for _, mode := range Modes() {
		t.Run(string(mode), func(t *testing.T) {
			c := qt.New(t)
			p := newTestPool(mode, 2, 4, 1)
			r := newRequest(testStart, time.Minute, 5)
			r.Avoid = "server-1"
			for range 3 {
				result, _ := p.Acquire(r)
				c.Assert(result.Server.Name, qt.Equals, "server-2")
			}
		})
	}
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	c := qt.New(t)
	b := NewRetryBudget()
	const requests = 10000
	retries := 0
	for range requests {
		b.Deposit()
		for b.Withdraw() {
			retries++
		}
	}
	c.Assert(retries <= requests/10+retryBurst, qt.IsTrue, qt.Commentf("%d retries", retries))
	c.Assert(retries >= requests/11, qt.IsTrue, qt.Commentf("%d retries", retries))
}
