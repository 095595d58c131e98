package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/server"
)

// Reasons of a choice of site.
const (
	ReasonPlan   = "plan"
	ReasonMoving = "moving"
	ReasonNoPlan = "no plan yet; own failure domain"
	ReasonGrant  = "own site takes no work; grant"
)

// retryAfterNoSite is when a caller whose work has no site should come back.
const retryAfterNoSite = time.Second

// HomeCounter counts the requests of one home failure domain, bucket by bucket.
type HomeCounter struct {
	FailureDomain string
	Buckets       [lovageyard.Buckets]atomic.Uint64
}

// Site is one site that has a class's service.
type Site struct {
	Name      string
	Pool      *server.Pool
	Allowance *grant.TokenBucket
	Local     bool
}

// ClassRoute is what traffic needs of one class. Its pointers lead to parts that outlive the
// snapshot; all else is immutable.
type ClassRoute struct {
	Class           lovageyard.Class
	Step            int64
	Limiter         *move.Limiter
	FailoverLimiter *move.Limiter
	Budget          *server.RetryBudget
	HomeCounts      []*HomeCounter
	Homes           []move.Home
	// Sites are in the order of their distance from this instance.
	Sites []Site
}

// Choice is the site chosen for one attempt.
type Choice struct {
	Site   string
	Pool   *server.Pool
	Moved  bool
	Reason string
	// Err refuses the request; RetryAfter says when to come back.
	Err        *lovageyard.RequestError
	RetryAfter time.Duration
}

// CountRequest counts one request of the class.
func (w *ClassRoute) CountRequest(p block.Location, home string) {
	w.Limiter.CountArrival()
	if w.FailoverLimiter != w.Limiter {
		w.FailoverLimiter.CountArrival()
	}
	for _, c := range w.HomeCounts {
		if c.FailureDomain == home {
			c.Buckets[p.Bucket].Add(1)
			return
		}
	}
}

// ChooseSite returns the site for a request of a block with a home failure domain.
func (w *ClassRoute) ChooseSite(p block.Location, home string, now time.Time) Choice {
	cells := w.cells(home)
	if cells == nil {
		return w.local()
	}
	name, moved := cells[p.Bucket].Route(rand.Float64(), w.Limiter)
	site := w.site(name)
	if site != nil && site.Pool.HasAvailable() {
		return Choice{Site: name, Pool: site.Pool, Moved: moved, Reason: reasonOf(moved)}
	}
	return w.failOver(name, now)
}

func reasonOf(moved bool) string {
	if moved {
		return ReasonMoving
	}
	return ReasonPlan
}

// failOver sends a request whose site takes no work where a grant and the cap allow.
func (w *ClassRoute) failOver(from string, now time.Time) Choice {
	for i := range w.Sites {
		s := &w.Sites[i]
		if s.Name == from || !s.Pool.HasAvailable() || !s.Allowance.Take(now) {
			continue
		}
		if !w.takeForced() {
			return refusal("site "+from+" takes no work, and the failover cap is used up", retryAfterNoSite)
		}
		return Choice{Site: s.Name, Pool: s.Pool, Moved: true, Reason: ReasonGrant}
	}
	return refusal("site "+from+" takes no work, and no grant is left", retryAfterNoSite)
}

func (w *ClassRoute) takeForced() bool {
	if w.Limiter.AllowFailover() {
		return true
	}
	return w.FailoverLimiter != w.Limiter && w.FailoverLimiter.AllowFailover()
}

// local serves from the own failure domain while no placement is known.
func (w *ClassRoute) local() Choice {
	for i := range w.Sites {
		s := &w.Sites[i]
		if s.Local && s.Pool.HasAvailable() {
			return Choice{Site: s.Name, Pool: s.Pool, Reason: ReasonNoPlan}
		}
	}
	return refusal("no plan is known, and no site of this failure domain takes work", retryAfterNoSite)
}

func refusal(reason string, after time.Duration) Choice {
	return Choice{Err: lovageyard.NotRun(reason, nil), RetryAfter: after}
}

func (w *ClassRoute) cells(home string) []move.Cell {
	for i := range w.Homes {
		if w.Homes[i].FailureDomain == home {
			return w.Homes[i].Cells
		}
	}
	return nil
}

func (w *ClassRoute) site(name string) *Site {
	for i := range w.Sites {
		if w.Sites[i].Name == name {
			return &w.Sites[i]
		}
	}
	return nil
}
