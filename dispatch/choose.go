package dispatch

import (
	"slices"
	"time"
)

// Limits of the server selection.
const (
	// unsetRank is larger than any rank in use, where larger means less urgent.
	unsetRank = 1 << 30
	// maxLoadUrgent and maxLoadOther are the loads, in multiples of the slots, up to which a server
	// gets requests of the most urgent routes and of all others. Servers queue at most three times
	// their slots; the difference between the two loads is reserved for urgent requests.
	maxLoadUrgent = 3.0
	maxLoadOther  = 2.5
	// Bounds of the retry delay of a refused client: a minimum, and the divisor of the time left
	// until its deadline.
	minRetryAfter     = 50 * time.Millisecond
	retryAfterDivisor = 3
)

// Causes of refusals, as used in metrics.
const (
	CauseUnknownService = "unknown-service"
	CauseHomeFull       = "home-full"
	CauseRegionFull     = "region-full"
	CauseNoServer       = "no-server"
	// CauseBackpressure means that all eligible servers have requested a rate limit or a backoff.
	CauseBackpressure = "backpressure"
	CauseDeadline     = "deadline"
	CauseOverload     = "overload"
	// CauseReserved means that the object's home has room, but only for more urgent requests.
	CauseReserved = "reserved"
)

// Rules by which a server is selected, as used in metrics and logs.
const (
	// RuleHome means that the server is the home of the request's object.
	RuleHome = "home"
	// RuleSecondHome means that it is the second home of the request's object, on a shared machine.
	RuleSecondHome = "second-home"
	// RuleAlternate means that it is the alternate of a home that is full or very slow.
	RuleAlternate = "alternate"
	// RuleLeastCost means that the request is not bound to an object.
	RuleLeastCost = "least-cost"
	// RuleRetry means that earlier attempts were sent to other servers.
	RuleRetry = "retry"
)

// Choose selects the server for a request, or refuses the request. It is safe for concurrent use.
func (t *Table) Choose(r Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[r.Service]
	if s == nil {
		return t.refuse(r, nil, CauseUnknownService, "no server of the service is known")
	}
	if s.isCounted(r) {
		r.standing = s.admission.record(r, t.workEstimate(r.Route).mean)
	}
	object := r.objectHash()
	best, why := t.pick(r, s, object)
	if !best.isFound() {
		if until, found := t.backpressureUntil(r, s); found && why == refusedNoServer {
			return t.refuseUntil(r, s, until)
		}
		if why.home != nil {
			return t.refuseAtHome(r, s, object, why)
		}
		refused := t.refuse(r, s, why.cause, why.reason)
		refused.Object = object
		return refused
	}
	if r.Now.Add(best.wait + best.work).After(r.Deadline) {
		s.work.fade(r.Now)
		t.workEstimate(r.Route).fade(r.Now)
		return t.refuse(r, s, CauseDeadline, "the deadline can't be met")
	}
	return t.assign(r, s, object, best)
}

// objectHash returns the hash that selects the request's server, or 0 if the request is not bound
// to an object.
func (r Request) objectHash() uint64 {
	switch {
	case r.HashOverride != 0:
		return r.HashOverride
	case r.Route.Sticky:
		return objectHash(r.Route, r.Key)
	}
	return 0
}

// refusal is the reason why no server was selected.
type refusal struct {
	cause  string
	reason string
	// home is the home of the request's object if that is full, otherwise nil.
	home *server
}

var refusedNoServer = refusal{cause: CauseNoServer, reason: "no server of the service takes work"}

// pick returns the server selected for a request, or the reason why there is none.
func (t *Table) pick(r Request, s *service, object uint64) (candidate, refusal) {
	if object != 0 {
		return t.pickForObject(r, s, object)
	}
	return t.pickAny(r, s)
}

// isEligible reports whether a server may get the request now.
func (t *Table) isEligible(r Request, s *service, b *server) bool {
	return t.isEligibleExceptBackpressure(r, s, b) && b.record.Allows(r.Now)
}

// isEligibleExceptBackpressure is isEligible without regard to the rate limit or backoff that the
// server has requested.
func (t *Table) isEligibleExceptBackpressure(r Request, s *service, b *server) bool {
	switch {
	case !b.isAvailable(), t.drained[b.FailureDomain], b.isSuspect(r.Now), t.reachabilityOf(b.FailureDomain).isExcluded(r.Now):
		return false
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, b.Region):
		return false
	case slices.Contains(r.Tried, b.Name):
		return false
	}
	return t.coldBoundAllows(s, b, r.Now)
}

// coldBoundAllows reports whether the bound on cold servers allows a request to a server.
func (t *Table) coldBoundAllows(s *service, b *server, now time.Time) bool {
	if !now.Before(b.ColdUntil) {
		return true
	}
	if !t.maySpendShare(coldRateWindow, now) {
		return false
	}
	limit := coldQuota(t.settings.Cold, s.Service, b.Name, t.settings.Self, t.instances)
	return b.cold.allows(limit, now)
}

func (t *Table) assign(r Request, s *service, object uint64, c candidate) Choice {
	b := c.server
	rule := c.rule
	switch {
	case len(r.Tried) > 0:
		rule = RuleRetry
	case c.home != nil:
		t.displacement.record(c.home.Region, b.Region, t.settings.Shift.Window, r.Now)
	}
	if b.inFlight == 0 {
		b.busySince = r.Now
	}
	b.inFlight++
	t.reachabilityOf(b.FailureDomain).inFlight++
	b.record.RecordSend(r.Now)
	cold := b.recordColdSend(r.Now)
	counted := s.isCounted(r)
	if counted {
		s.admission.accept(r.priority(), r.Account, 1, r.Now)
	}
	pace := 0.0
	if b.pace.isKnown() {
		pace = b.pace.at(r.Now)
	}
	return Choice{
		Server:   b.BackendServer,
		Expected: c.cost,
		Wait:     c.wait,
		Load:     c.load,
		LoadAge:  b.reportAge(r.Now),
		Pace:     pace,
		Reason:   c.reason,
		Rule:     rule,
		Cold:     cold,
		Object:   object,
		server:   b,
		service:  s,
		route:    r.Route,
		work:     c.work,
		sentAt:   r.Now,
		counted:  counted,
		priority: r.priority(),
		account:  r.Account,
	}
}

// refuse refuses a request. Its client should retry after about one mean work time.
func (t *Table) refuse(r Request, s *service, cause, reason string) Choice {
	mean := newWorkEstimator(r.Route.Goal).mean
	if s != nil {
		mean = s.work.mean
	}
	return Choice{Refused: true, Cause: cause, Reason: reason, RetryAfter: t.retryAfter(r, mean), BeyondShare: r.standing.beyondShare}
}

// refuseAtHome refuses a request for an object whose home is full or busy. Its client should retry once the home
// has finished the requests that it has now.
func (t *Table) refuseAtHome(r Request, s *service, object uint64, why refusal) Choice {
	load := why.home.estimatedLoad(r.Now)
	drained := s.queueWait(int(load), why.home.slots)
	if s.isCounted(r) {
		drained = s.admission.retryAfter(r, drained)
	}
	return Choice{
		Refused:     true,
		Cause:       why.cause,
		Reason:      why.reason,
		RetryAfter:  t.retryAfter(r, drained),
		Object:      object,
		BeyondShare: r.standing.beyondShare,
		Server:      why.home.BackendServer,
		Load:        load,
	}
}

// retryAfter returns the retry delay of a refused client, given its mean.
func (t *Table) retryAfter(r Request, mean time.Duration) time.Duration {
	return max(minRetryAfter, min(t.jitter(mean), r.Deadline.Sub(r.Now)/retryAfterDivisor))
}

// refuseUntil refuses a request that no server accepts before a given time.
func (t *Table) refuseUntil(r Request, s *service, until time.Time) Choice {
	after := max(minRetryAfter, until.Sub(r.Now)+t.jitter(s.work.mean)/2)
	return Choice{Refused: true, Cause: CauseBackpressure, Reason: "all servers of the service have asked for less", RetryAfter: after}
}

// jitter returns a random duration between 0.5 and 1.5 times a mean, so that clients that are
// refused together do not retry simultaneously.
func (t *Table) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + t.random.Float64()) * float64(mean))
}
