package footprint

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const testBudget = 1 << 20

// check compares the pool's totals with the sums over all reservations, and with the limits.
func check(t *rapid.T, p *Pool, held []*Reservation) {
	var sum usage
	servers := make(map[string]usage)
	for _, r := range held {
		sum = sum.replace(0, r.bytes)
		if r.assigned > 0 {
			servers[r.server] = servers[r.server].replace(0, r.assigned)
		}
	}
	switch {
	case p.total != sum:
		t.Fatalf("the pool counts %+v, its reservations hold %+v", p.total, sum)
	case sum.all > p.limits.all || sum.large > p.limits.large:
		t.Fatalf("%+v is beyond %+v", sum, p.limits)
	case len(servers) != len(p.servers):
		t.Fatalf("bytes of %d servers are counted, %d have some", len(p.servers), len(servers))
	}
	for name, u := range servers {
		if p.servers[name] != u {
			t.Fatalf("%+v in flight to %s, counted as %+v", u, name, p.servers[name])
		}
	}
}

// Bytes that are not counted, counted twice or released twice let an instance exceed its memory, or refuse requests
// for good.
func TestRandomPlaysKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(testBudget)
		now := time.Unix(1000, 0)
		var held []*Reservation
		var waiting []*waiter
		size := rapid.OneOf(rapid.Int64Range(0, SmallBytes), rapid.Int64Range(0, testBudget), rapid.Int64Range(SmallBytes, testBudget/8))
		draw := func(t *rapid.T) *Reservation {
			if len(held) == 0 {
				t.Skip("nothing is held")
			}
			return held[rapid.IntRange(0, len(held)-1).Draw(t, "reservation")]
		}
		isWaiting := func(r *Reservation) bool {
			for _, w := range waiting {
				if w.reservation == r {
					return true
				}
			}
			return false
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				bytes := size.Draw(t, "bytes")
				before := p.total
				r := p.Reserve(bytes, now)
				if r != nil {
					held = append(held, r)
					return
				}
				if p.total != before {
					t.Fatalf("a refusal changed the usage from %+v to %+v", before, p.total)
				}
				if !isLarge(bytes) && before.all+bytes <= testBudget {
					t.Fatalf("%d bytes were refused with %+v in use", bytes, before)
				}
			},
			"resize": func(t *rapid.T) {
				if r := draw(t); !isWaiting(r) {
					r.Resize(size.Draw(t, "bytes"), now)
				}
			},
			"wait": func(t *rapid.T) {
				r := draw(t)
				if isWaiting(r) {
					t.Skip("it waits already")
				}
				bytes := size.Draw(t, "bytes")
				w, err := r.enqueue(bytes, now)
				if (err != nil) != (r.released || bytes > p.limits.large) {
					t.Fatalf("%d bytes: %v", bytes, err)
				}
				if err == nil {
					waiting = append(waiting, w)
				}
			},
			"abandon": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("none waits")
				}
				w := waiting[len(waiting)-1]
				p.remove(w, now)
				waiting = waiting[:len(waiting)-1]
			},
			"assign": func(t *rapid.T) {
				r := draw(t)
				server := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				if r.server != "" || r.released {
					t.Skip("it is assigned or released")
				}
				before := p.servers[server]
				if r.Assign(server) && before.all > 0 && p.servers[server].all > p.serverLimits.all {
					t.Fatalf("%+v in flight to a server", p.servers[server])
				}
			},
			"unassign": func(t *rapid.T) { draw(t).Unassign() },
			"release": func(t *rapid.T) {
				if r := draw(t); !isWaiting(r) {
					r.Release(now)
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				check(t, p, held)
				var left []*waiter
				for _, w := range waiting {
					select {
					case <-w.admitted:
					default:
						left = append(left, w)
					}
				}
				waiting = left
				after := p.RetryAfter(size.Draw(t, "missing"), now, rapid.Float64Range(0, 1).Draw(t, "random"))
				if after < minRetryAfter || after > maxRetryAfter {
					t.Fatalf("retry after %s", after)
				}
			},
		})
		for _, w := range waiting {
			p.remove(w, now)
		}
		for range 2 {
			for _, r := range held {
				r.Release(now)
			}
		}
		if p.total != (usage{}) || len(p.servers) > 0 || len(p.waiters) > 0 {
			t.Fatalf("%+v, %d servers and %d waiters are left", p.total, len(p.servers), len(p.waiters))
		}
	})
}

// Requests with large bodies that are read slowly must not keep small ones out.
func TestSmallRequestsAreAdmittedWhileLargeOnesAreRefused(t *testing.T) {
	c := qt.New(t)
	p := NewPool(testBudget)
	now := time.Unix(1000, 0)
	for p.Reserve(SmallBytes+1, now) != nil {
	}
	admitted := 0
	for p.Reserve(SmallBytes, now) != nil {
		admitted++
	}
	c.Assert(admitted >= testBudget/5/SmallBytes, qt.IsTrue, qt.Commentf("%d were admitted", admitted))
}

// A response that has run is delivered before new large requests are admitted; otherwise it could wait until its
// deadline while they come and go.
func TestWaitingResponseGoesBeforeNewRequests(t *testing.T) {
	c := qt.New(t)
	p := NewPool(testBudget)
	now := time.Unix(1000, 0)
	large := p.limits.large
	first, second := p.Reserve(large/2, now), p.Reserve(large/2, now)
	c.Assert(first, qt.IsNotNil)
	c.Assert(second, qt.IsNotNil)
	w, err := second.enqueue(large, now)
	c.Assert(err, qt.IsNil)
	first.Resize(large/4, now)
	c.Assert(p.Reserve(large/8, now), qt.IsNil)
	c.Assert(p.Reserve(SmallBytes, now), qt.IsNotNil)
	first.Release(now)
	select {
	case <-w.admitted:
	default:
		c.Fatal("the waiting response is not admitted")
	}
	c.Assert(p.Stats().Large, qt.Equals, large)
	// A wait ends with its context, and leaves the reservation as it was.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	third := p.Reserve(SmallBytes, now)
	c.Assert(third.Await(ctx, large/2, now), qt.ErrorIs, context.Canceled)
	c.Assert(third.bytes, qt.Equals, int64(SmallBytes))
	c.Assert(third.Await(ctx, large+1, now), qt.ErrorIs, ErrTooLarge)
}

// One server that stops reading must leave most of the budget to requests for other servers; a request that is
// larger than a server's share must not be refused forever.
func TestShareOfOneServerIsLimited(t *testing.T) {
	c := qt.New(t)
	p := NewPool(testBudget)
	now := time.Unix(1000, 0)
	assigned := int64(0)
	for {
		r := p.Reserve(20<<10, now)
		if !r.Assign("a") {
			c.Assert(r.Assign("b"), qt.IsTrue)
			break
		}
		assigned += r.bytes
	}
	c.Assert(assigned <= testBudget/4, qt.IsTrue)
	c.Assert(assigned > testBudget/8, qt.IsTrue)
	c.Assert(p.Reserve(1<<10, now).Assign("a"), qt.IsTrue)
	c.Assert(p.Reserve(testBudget/3, now).Assign("c"), qt.IsTrue)
	var none *Reservation
	c.Assert(none.Assign("a"), qt.IsTrue)
}

// Clients that are told to return too early are refused again; those that return too late leave the instance idle.
func TestRetryAfterFollowsTheRateOfReleases(t *testing.T) {
	c := qt.New(t)
	p := NewPool(testBudget)
	now := time.Unix(1000, 0)
	c.Assert(p.RetryAfter(testBudget/2, now, 0.5), qt.Equals, minRetryAfter)
	full := p.Reserve(p.limits.large, now)
	c.Assert(p.RetryAfter(100<<10, now, 0.5), qt.Equals, maxRetryAfter)
	full.Release(now)
	held := p.Reserve(p.limits.large, now)
	after := p.RetryAfter(p.limits.large/2, now, 0.5)
	c.Assert(after > 400*time.Millisecond && after < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", after))
	held.Release(now)
}
