package dispatch

import (
	"slices"
	"time"
)

// Limits of the choice.
const (
	// lowestRank is below any rank in use.
	lowestRank = 1 << 30
	// fullTop and fullOther are the loads, in slots, above which a server gets no more
	// requests of the most urgent and of other routes: its queue holds three times its
	// slots, and the reserve keeps room for the urgent ones.
	fullTop   = 3.0
	fullOther = 2.5
	// Bounds of the time after which a refused client should come back.
	leastRetryAfter = 50 * time.Millisecond
	retryAfterShare = 3
)

// Causes of refusals, for metrics.
const (
	CauseUnknownService = "unknown-service"
	CauseHomeFull       = "home-full"
	CauseRegionFull     = "region-full"
	CauseNoServer       = "no-server"
	// CauseBackpressure is that servers have asked for less.
	CauseBackpressure = "backpressure"
	CauseDeadline     = "deadline"
)

// Choose gives a request the server that should answer first, or refuses it.
func (t *Table) Choose(r Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[r.Service]
	if s == nil {
		return t.refuse(r, nil, CauseUnknownService, "no server of the service is known")
	}
	object := r.object()
	best, why := t.pick(r, s, object)
	if best == nil {
		if until, found := t.heldBackUntil(r, s); found && why == noServer {
			return t.refuseUntil(r, s, until)
		}
		return t.refuse(r, s, why.cause, why.reason)
	}
	if r.Now.Add(best.wait + best.work).After(r.Deadline) {
		return t.refuse(r, s, CauseDeadline, "the deadline can't be met")
	}
	return t.send(r, s, object, best)
}

// object returns what the request's server is chosen by, or 0 if any server is as good.
func (r Request) object() uint64 {
	switch {
	case r.HashOverride != 0:
		return r.HashOverride
	case r.Route.Sticky:
		return objectOf(r.Route, r.Key)
	}
	return 0
}

// refusal says why no server was picked.
type refusal struct {
	cause  string
	reason string
}

var noServer = refusal{cause: CauseNoServer, reason: "no server of the service takes work"}

// pick returns the server that a request should go to, or why there is none.
func (t *Table) pick(r Request, s *service, object uint64) (*candidate, refusal) {
	if object != 0 {
		return t.pickForObject(r, s, object)
	}
	return t.pickAny(r, s)
}

// isEligible says whether a server may get the request at all.
func (t *Table) isEligible(r Request, s *service, one *server) bool {
	return t.couldRun(r, s, one) && one.record.Allows(r.Now)
}

// couldRun says whether a server may get the request as far as others judge it, whatever it has asked for itself.
func (t *Table) couldRun(r Request, s *service, one *server) bool {
	switch {
	case !one.takesWork(), t.drained[one.FailureDomain], one.isSuspect(r.Now), t.reachOf(one.FailureDomain).isAbsent(r.Now):
		return false
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, one.Region):
		return false
	case slices.Contains(r.Tried, one.Name):
		return false
	}
	if r.Now.Before(one.ColdUntil) {
		limit := coldLimit(t.settings.Cold, s.Service, one.Name, t.settings.Self, t.instances)
		return one.cold.allows(limit, r.Now)
	}
	return true
}

func (t *Table) send(r Request, s *service, object uint64, c *candidate) Choice {
	one := c.server
	if one.inFlight == 0 {
		one.busySince = r.Now
	}
	one.inFlight++
	t.reachOf(one.FailureDomain).inFlight++
	one.record.RecordSend(r.Now)
	cold := r.Now.Before(one.ColdUntil)
	if cold {
		one.cold.note(r.Now)
	}
	return Choice{
		Server:   one.BackendServer,
		Expected: c.cost,
		Wait:     c.wait,
		Load:     c.load,
		LoadAge:  one.reportAge(r.Now),
		Reason:   c.reason,
		Cold:     cold,
		Object:   object,
		server:   one,
		service:  s,
		route:    r.Route,
		work:     c.work,
		sentAt:   r.Now,
	}
}

// refuse turns a request away; its client should come back when about one mean work has
// passed, spread so that refused clients do not come back together.
func (t *Table) refuse(r Request, s *service, cause, reason string) Choice {
	mean := newWork(r.Route.Goal).mean
	if s != nil {
		mean = s.mean
	}
	after := t.spread(mean)
	after = max(leastRetryAfter, min(after, r.Deadline.Sub(r.Now)/retryAfterShare))
	return Choice{Refused: true, Cause: cause, Reason: reason, RetryAfter: after}
}

// refuseUntil turns a request away that no server takes before a time.
func (t *Table) refuseUntil(r Request, s *service, until time.Time) Choice {
	after := max(leastRetryAfter, until.Sub(r.Now)+t.spread(s.mean)/2)
	return Choice{Refused: true, Cause: CauseBackpressure, Reason: "all servers of the service have asked for less", RetryAfter: after}
}

// spread returns a span around a mean, so that clients who are refused together come back apart.
func (t *Table) spread(mean time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(mean))
}
