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

// Reasons for the choice of a site, as decisions report them to operators.
const (
	ReasonPlan   = "plan"
	ReasonMoving = "moving"
	ReasonNoPlan = "no plan yet; own failure domain"
	ReasonGrant  = "own site takes no work; grant"
)

// retryAfterNoSite is the retry delay that is sent to callers for whose request there is no site.
const retryAfterNoSite = time.Second

// HomeCounter counts the requests of one home failure domain by bucket. It is safe for concurrent use.
type HomeCounter struct {
	FailureDomain string
	Buckets       [lovageyard.Buckets]atomic.Uint64
}

// Site is a site that serves a class. Each failover request to it takes a token of Allowance, the bucket of
// its grant. Local is set if the site is in this instance's failure domain.
type Site struct {
	Name      string
	Pool      *server.Pool
	Allowance *grant.TokenBucket
	Local     bool
}

// ClassRoute is the routing state of one class. The limiters, the budget, the counters and the sites' pools
// and allowances are shared by successive snapshots; the rest is immutable.
type ClassRoute struct {
	Class lovageyard.Class
	// Step is the step of the class's plan.
	Step    int64
	Limiter *move.Limiter
	// FailoverLimiter has the part of the failover cap beyond the cap of Limiter, or is Limiter if there is
	// no such part.
	FailoverLimiter *move.Limiter
	RetryBudget     *server.RetryBudget
	HomeCounts      []*HomeCounter
	Homes           []move.Home
	// Sites is ordered by distance from this instance, nearest first.
	Sites []Site
}

// Choice is the site chosen for one attempt, or the refusal of the request.
type Choice struct {
	Site string
	Pool *server.Pool
	// Moved is set if a limiter admitted the request to another site than that of its bucket.
	Moved  bool
	Reason string
	// Err is the refusal, or nil; RetryAfter is the delay after which the caller may retry.
	Err        *lovageyard.RequestError
	RetryAfter time.Duration
}

// CountRequest counts one request of the class, for the limiters and for demand reports.
func (r *ClassRoute) CountRequest(location block.Location, home string) {
	r.Limiter.CountArrival()
	if r.FailoverLimiter != r.Limiter {
		r.FailoverLimiter.CountArrival()
	}
	for _, c := range r.HomeCounts {
		if c.FailureDomain == home {
			c.Buckets[location.Bucket].Add(1)
			return
		}
	}
}

// ChooseSite returns the site for a request, or a refusal, given the client's location and home failure
// domain.
func (r *ClassRoute) ChooseSite(location block.Location, home string, now time.Time) Choice {
	cells := r.cells(home)
	if cells == nil {
		return r.chooseLocal()
	}
	name, moved := cells[location.Bucket].Route(rand.Float64(), r.Limiter)
	site := r.site(name)
	if site != nil && site.Pool.HasAvailable() {
		return Choice{Site: name, Pool: site.Pool, Moved: moved, Reason: reasonOf(moved)}
	}
	return r.chooseFailover(name, now)
}

func reasonOf(moved bool) string {
	if moved {
		return ReasonMoving
	}
	return ReasonPlan
}

// chooseFailover returns the nearest other site that accepts requests and has a token of its grant left, for
// a request whose site is unavailable. It returns a refusal if there is none or the failover cap is used up.
func (r *ClassRoute) chooseFailover(unavailable string, now time.Time) Choice {
	for i := range r.Sites {
		s := &r.Sites[i]
		if s.Name == unavailable || !s.Pool.HasAvailable() || !s.Allowance.Take(now) {
			continue
		}
		if !r.allowFailover() {
			s.Allowance.Return()
			return refuse("site "+unavailable+" takes no work, and the failover cap is used up", retryAfterNoSite)
		}
		return Choice{Site: s.Name, Pool: s.Pool, Moved: true, Reason: ReasonGrant}
	}
	return refuse("site "+unavailable+" takes no work, and no grant is left", retryAfterNoSite)
}

func (r *ClassRoute) allowFailover() bool {
	if r.Limiter.AllowFailover() {
		return true
	}
	return r.FailoverLimiter != r.Limiter && r.FailoverLimiter.AllowFailover()
}

// chooseLocal returns a site in this instance's failure domain, for a home without a placement.
func (r *ClassRoute) chooseLocal() Choice {
	for i := range r.Sites {
		s := &r.Sites[i]
		if s.Local && s.Pool.HasAvailable() {
			return Choice{Site: s.Name, Pool: s.Pool, Reason: ReasonNoPlan}
		}
	}
	return refuse("no plan is known, and no site of this failure domain takes work", retryAfterNoSite)
}

func refuse(reason string, after time.Duration) Choice {
	return Choice{Err: lovageyard.NotRun(reason, nil), RetryAfter: after}
}

func (r *ClassRoute) cells(home string) []move.Cell {
	for i := range r.Homes {
		if r.Homes[i].FailureDomain == home {
			return r.Homes[i].Cells
		}
	}
	return nil
}

func (r *ClassRoute) site(name string) *Site {
	for i := range r.Sites {
		if r.Sites[i].Name == name {
			return &r.Sites[i]
		}
	}
	return nil
}
