package quota

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// Times and bounds of the decisions of an instance.
const (
	// replyLifetime is how long an owner's reply is valid.
	replyLifetime = 2 * time.Second
	// prefetchWindow is the time for which tokens are requested in advance while an account is metered.
	prefetchWindow = 200 * time.Millisecond
	// maxPause bounds how long no tokens are requested for an account that was refused some.
	maxPause = 300 * time.Millisecond
	// unreportedFraction is the fraction of an account's burst that all instances together may admit before
	// they have reported. Each may admit minUnreported requests if that is more.
	unreportedFraction = 0.3
	minUnreported      = 2
	// localBurstWindow is the time for which an instance may accumulate its own share of a limit.
	localBurstWindow = 100 * time.Millisecond
	// retryWithoutOwner is when to retry after a refusal because no owner could be reached. By then another
	// owner has taken over.
	retryWithoutOwner = 300 * time.Millisecond
	// idleTimeout is when an account without requests is removed.
	idleTimeout = 10 * time.Second
)

// Verdict says whether a request is within its account's limit.
type Verdict int

// The possible verdicts.
const (
	// Admitted requests may run.
	Admitted Verdict = iota
	// Pending requests wait for tokens, which have to be requested from the owner.
	Pending
	// Refused requests exceed the limit.
	Refused
)

// Decision is a verdict and, for a refused request, the time after which to retry.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// ownerReply is the latest reply of an owner.
type ownerReply struct {
	// askedAt is when the request for the reply was sent.
	askedAt time.Duration
	// warmingUp reports whether accounts that the reply does not name are metered as well.
	warmingUp bool
}

// entry is the state of one account at an instance.
type entry struct {
	// metered reports whether requests need tokens, according to the owner's reply to the request sent at
	// stateAt.
	metered bool
	stateAt time.Duration
	// level is the number of tokens in the owner's bucket at that time, or 0 if the reply did not name the
	// account.
	level int
	// owner is the instance that sent the reply.
	owner string
	// prefetches reports whether tokens are requested in advance. They are if the account is metered, or if it
	// sends more requests here than may be admitted without tokens.
	prefetches bool
	// used and returned are the counts for the next report.
	used, returned int
	tokens         int
	tokensUntil    time.Duration
	// pending is the number of requests that wait for tokens.
	pending int
	// pausedUntil is when the owner may have tokens again, and retryAfter the retry time for refused callers.
	pausedUntil time.Duration
	retryAfter  time.Duration
	// demand is the recent request rate, per second.
	demand   float64
	demandAt time.Duration
	// localTokens is the bucket of this instance's own share of the limit, which is used while no owner can be
	// reached. It fills from the last reply of an owner on.
	localTokens    float64
	localUpdatedAt time.Duration
}

// Ledger decides which requests an instance admits. It is not safe for concurrent use.
type Ledger struct {
	entries map[string]*entry
	// replies holds the latest reply of each owner.
	replies   map[string]ownerReply
	startedAt time.Duration
	// instances is the number of instances that share the limits.
	instances int
}

// NewLedger returns an empty ledger. Times are readings of a monotonic clock.
func NewLedger(now time.Duration) *Ledger {
	return &Ledger{entries: make(map[string]*entry), replies: make(map[string]ownerReply), startedAt: now, instances: 1}
}

// SetInstanceCount sets the number of instances that share the limits; values below 1 count as 1.
func (l *Ledger) SetInstanceCount(count int) {
	l.instances = max(1, count)
}

func (l *Ledger) entry(account string) *entry {
	e := l.entries[account]
	if e == nil {
		e = &entry{localUpdatedAt: l.startedAt, demandAt: l.startedAt, metered: true}
		l.entries[account] = e
	}
	return e
}

// isMetered reports whether requests need tokens. They also do if no owner has replied recently.
func (e *entry) isMetered(now time.Duration) bool {
	return e.metered || now-e.stateAt > replyLifetime
}

// Admit decides on a new request of an account that belongs to the given owner. A Pending request has to be
// passed to Resume or AdmitLocally later.
func (l *Ledger) Admit(a *lovageyard.Account, owner string, now time.Duration) Decision {
	_, known := l.entries[a.Name]
	e := l.entry(a.Name)
	if !known {
		// Replies name all metered accounts, so that an unknown account is unmetered.
		reply := l.latestReply(owner)
		e.metered, e.stateAt, e.owner = reply.warmingUp || reply.askedAt == 0, reply.askedAt, owner
	}
	e.recordDemand(now)
	decision := l.decide(e, a, now)
	if decision.Verdict == Pending {
		e.pending++
	}
	return decision
}

// HasOwnerReply reports whether any owner has replied since the start.
func (l *Ledger) HasOwnerReply() bool {
	return len(l.replies) > 0
}

// MeteredCount returns the number of accounts that need tokens according to a reply that is still valid.
func (l *Ledger) MeteredCount(now time.Duration) int {
	count := 0
	for _, e := range l.entries {
		if e.metered && now-e.stateAt <= replyLifetime {
			count++
		}
	}
	return count
}

// latestReply returns the last reply of an owner, or that of another owner if it is newer by more than
// replyLifetime.
func (l *Ledger) latestReply(owner string) ownerReply {
	reply := l.replies[owner]
	for _, other := range l.replies {
		if other.askedAt-reply.askedAt > replyLifetime {
			reply = other
		}
	}
	return reply
}

// Resume decides again on a pending request. The request stays pending if its tokens have not arrived yet.
func (l *Ledger) Resume(a *lovageyard.Account, now time.Duration) Decision {
	e := l.entry(a.Name)
	decision := l.decide(e, a, now)
	if decision.Verdict != Pending {
		e.pending--
	}
	return decision
}

func (l *Ledger) decide(e *entry, a *lovageyard.Account, now time.Duration) Decision {
	switch {
	case !e.isMetered(now) && float64(e.used) < l.unreportedLimit(a):
		e.used++
		return Decision{Verdict: Admitted}
	case e.takeToken(now):
		return Decision{Verdict: Admitted}
	case now < e.pausedUntil:
		return Decision{Verdict: Refused, RetryAfter: e.retryAfter}
	}
	return Decision{Verdict: Pending}
}

// unreportedLimit returns how many requests of an account may be admitted without tokens before they are
// reported.
func (l *Ledger) unreportedLimit(a *lovageyard.Account) float64 {
	return max(minUnreported, unreportedFraction*a.Burst/float64(l.instances))
}

// AdmitLocally decides on a pending request whose owner did not reply in time. It uses this instance's own
// share of the limit.
func (l *Ledger) AdmitLocally(a *lovageyard.Account, now time.Duration) Decision {
	e := l.entry(a.Name)
	e.pending--
	rate := a.Rate / float64(l.instances)
	e.localTokens = min(1+rate*localBurstWindow.Seconds(), e.localTokens+rate*(now-e.localUpdatedAt).Seconds())
	e.localUpdatedAt = now
	if e.localTokens < 1 {
		return Decision{Verdict: Refused, RetryAfter: retryWithoutOwner}
	}
	e.localTokens--
	return Decision{Verdict: Admitted}
}

// Return takes back the admission of a request that was not run and will not be.
func (l *Ledger) Return(account string) {
	e := l.entry(account)
	if e.used > 0 {
		e.used--
		return
	}
	e.returned++
}

// IsUrgent reports whether tokens of the account have to be requested immediately.
func (l *Ledger) IsUrgent(a *lovageyard.Account, now time.Duration) bool {
	e := l.entry(a.Name)
	e.prefetches = e.isMetered(now) || float64(e.prefetchTarget()) > l.unreportedLimit(a)
	return e.pending > 0 || e.prefetches && now >= e.pausedUntil && e.tokens < e.prefetchTarget()/2
}

// prefetchTarget returns how many tokens to hold in advance. It is 0 for an instance that may not use them
// before they expire, as they would be missing elsewhere.
func (e *entry) prefetchTarget() int {
	return int(e.demand * prefetchWindow.Seconds())
}

// Report returns the uses to report to an owner and resets their counts.
func (l *Ledger) Report(owner string, owns func(account string) bool, now time.Duration) []Use {
	var uses []Use
	for name, e := range l.entries {
		if !owns(name) {
			continue
		}
		e.expire(now)
		use := Use{Account: name, Used: e.used, Returned: e.returned, Wanted: e.wanted(now)}
		if use == (Use{Account: name}) {
			if now-e.demandAt > idleTimeout {
				delete(l.entries, name)
			}
			continue
		}
		e.used, e.returned = 0, 0
		if now-e.stateAt <= replyLifetime {
			use.Known, use.Level, use.Unmetered, use.Switched = true, e.level, !e.metered, e.owner != owner
		}
		uses = append(uses, use)
	}
	return uses
}

// wanted returns how many tokens to request.
func (e *entry) wanted(now time.Duration) int {
	if now < e.pausedUntil || !e.prefetches {
		return e.pending
	}
	return max(e.pending, e.prefetchTarget()-e.tokens)
}

// RestoreReport restores the counts of a report that may not have been received. Used requests are reported
// again; returned tokens are not, as they could be credited twice.
func (l *Ledger) RestoreReport(uses []Use) {
	for _, u := range uses {
		l.entry(u.Account).used += u.Used
	}
}

// ApplyReply applies an owner's reply for all accounts that it owns. askedAt is when the request was sent;
// replies to older requests are ignored.
func (l *Ledger) ApplyReply(owner string, owns func(account string) bool, warmingUp bool, states []State, askedAt, now time.Duration) {
	if previous := l.replies[owner]; previous.askedAt > askedAt {
		return
	}
	l.replies[owner] = ownerReply{askedAt: askedAt, warmingUp: warmingUp}
	for name, e := range l.entries {
		if owns(name) {
			e.metered, e.stateAt, e.level, e.owner = warmingUp, askedAt, 0, owner
			e.localTokens, e.localUpdatedAt = 0, now
		}
	}
	for _, s := range states {
		e := l.entry(s.Account)
		e.owner = owner
		e.applyState(s, askedAt, now)
	}
}

func (e *entry) applyState(s State, askedAt, now time.Duration) {
	e.metered, e.stateAt, e.level = s.Metered, askedAt, s.Level
	e.expire(now)
	if s.Granted > 0 && e.tokens == 0 {
		// Tokens that are added to existing ones expire together with these.
		e.tokensUntil = askedAt + tokenLifetime
	}
	e.tokens += s.Granted
	e.expire(now)
	if s.RetryAfter > 0 {
		e.retryAfter = s.RetryAfter
		e.pausedUntil = now + min(maxPause, s.RetryAfter)
	}
}

func (e *entry) takeToken(now time.Duration) bool {
	e.expire(now)
	if e.tokens == 0 {
		return false
	}
	e.tokens--
	return true
}

// expire returns tokens whose lifetime has passed.
func (e *entry) expire(now time.Duration) {
	if e.tokens > 0 && now >= e.tokensUntil {
		e.returned += e.tokens
		e.tokens = 0
	}
}

// recordDemand adds a request to the moving average.
func (e *entry) recordDemand(now time.Duration) {
	e.demand = e.demand*math.Exp(-float64(now-e.demandAt)/float64(demandWindow)) + 1/demandWindow.Seconds()
	e.demandAt = now
}
