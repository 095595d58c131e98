package quota

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// Times of an instance's decisions.
const (
	// trustFor is how long an instance goes by an owner's word.
	trustFor = 2 * time.Second
	// prefetchFor is the time for which tokens are asked for in advance while an account is tight.
	prefetchFor = 200 * time.Millisecond
	// longestPause is how long an account without tokens is not asked for again.
	longestPause = 300 * time.Millisecond
	// unreportedPart is the part of an account's burst that all instances together may admit before they have
	// reported, or each fewUnreported requests if that is more.
	unreportedPart = 0.3
	fewUnreported  = 2
	// ownSpan is the time for which an instance may save up its own part of a limit.
	ownSpan = 100 * time.Millisecond
	// retryUnasked is when to come back after a refusal as no owner could be asked; others take over by then.
	retryUnasked = 300 * time.Millisecond
	// idleAfter is when an account that sends nothing is forgotten.
	idleAfter = 10 * time.Second
)

// Verdict is whether a request is within its account's limit.
type Verdict int

// The verdicts.
const (
	// Admitted requests may run.
	Admitted Verdict = iota
	// Pending requests wait for tokens, which have to be asked for.
	Pending
	// Refused requests are beyond the limit.
	Refused
)

// Decision is a verdict, and when a refused caller should come back.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// word is what was heard from an owner last.
type word struct {
	// askedAt is when it was asked.
	askedAt time.Duration
	// warmingUp says that accounts which it does not name are tight, too.
	warmingUp bool
}

// entry is what an instance knows of one account.
type entry struct {
	// tight says that requests need tokens, by the word of an owner that was asked at heardAt.
	tight   bool
	heardAt time.Duration
	// level is the number of tokens that its bucket had then, or 0 if that was not said.
	level int
	// owner is the one whose word that is.
	owner string
	// usesTokens says that tokens are asked for in advance: the account is tight, or sends more here than may
	// be admitted without.
	usesTokens bool
	// used and returned are to be reported.
	used, returned int
	tokens         int
	tokensUntil    time.Duration
	// waiting is the number of requests that wait for tokens.
	waiting int
	// pausedUntil is when the owner may have tokens again, and retryAfter what refused callers are told.
	pausedUntil time.Duration
	retryAfter  time.Duration
	// demand is the number of requests a second of late.
	demand   float64
	demandAt time.Duration
	// own is the bucket of this instance's own part of the limit, for when no owner can be asked; it
	// fills from the last answer of one.
	own   float64
	ownAt time.Duration
}

// Ledger is what an instance admits. It is not safe for concurrent use.
type Ledger struct {
	entries map[string]*entry
	// words holds what was heard from each owner.
	words map[string]word
	began time.Duration
	// sharers is the number of instances that share the limits.
	sharers int
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Duration) *Ledger {
	return &Ledger{entries: make(map[string]*entry), words: make(map[string]word), began: now, sharers: 1}
}

// SetInstanceCount sets the number of instances that share the limits.
func (l *Ledger) SetInstanceCount(count int) {
	l.sharers = max(1, count)
}

func (l *Ledger) entry(account string) *entry {
	e := l.entries[account]
	if e == nil {
		e = &entry{ownAt: l.began, demandAt: l.began, tight: true}
		l.entries[account] = e
	}
	return e
}

// isTight says whether requests need tokens; they do as well if no owner was heard of late.
func (e *entry) isTight(now time.Duration) bool {
	return e.tight || now-e.heardAt > trustFor
}

// Admit judges a request of an account with an owner.
func (l *Ledger) Admit(a *lovageyard.Account, owner string, now time.Duration) Decision {
	_, known := l.entries[a.Name]
	e := l.entry(a.Name)
	if !known {
		// Owners name all accounts that are tight.
		w := l.newest(owner)
		e.tight, e.heardAt, e.owner = w.warmingUp || w.askedAt == 0, w.askedAt, owner
	}
	e.note(now)
	answer := l.judge(e, a, now)
	if answer.Verdict == Pending {
		e.waiting++
	}
	return answer
}

// HasOwnerReply says whether an owner has answered.
func (l *Ledger) HasOwnerReply() bool {
	return len(l.words) > 0
}

// MeteredCount returns the number of accounts that need tokens by an owner's word of late.
func (l *Ledger) MeteredCount(now time.Duration) int {
	count := 0
	for _, e := range l.entries {
		if e.tight && now-e.heardAt <= trustFor {
			count++
		}
	}
	return count
}

// newest returns the last word of an owner, or if there is none of late, that of another.
func (l *Ledger) newest(owner string) word {
	w := l.words[owner]
	for _, other := range l.words {
		if other.askedAt-w.askedAt > trustFor {
			w = other
		}
	}
	return w
}

// Resume judges a request that was pending once more; it stays pending if there is no answer yet.
func (l *Ledger) Resume(a *lovageyard.Account, now time.Duration) Decision {
	e := l.entry(a.Name)
	answer := l.judge(e, a, now)
	if answer.Verdict != Pending {
		e.waiting--
	}
	return answer
}

func (l *Ledger) judge(e *entry, a *lovageyard.Account, now time.Duration) Decision {
	switch {
	case !e.isTight(now) && float64(e.used) < l.unreported(a):
		e.used++
		return Decision{Verdict: Admitted}
	case e.takeToken(now):
		return Decision{Verdict: Admitted}
	case now < e.pausedUntil:
		return Decision{Verdict: Refused, RetryAfter: e.retryAfter}
	}
	return Decision{Verdict: Pending}
}

// unreported returns how many requests of an account may be admitted without tokens before they are reported.
func (l *Ledger) unreported(a *lovageyard.Account) float64 {
	return max(fewUnreported, unreportedPart*a.Burst/float64(l.sharers))
}

// AdmitLocally judges a request that has waited for an owner in vain, by this instance's own part of the limit.
func (l *Ledger) AdmitLocally(a *lovageyard.Account, now time.Duration) Decision {
	e := l.entry(a.Name)
	e.waiting--
	rate := a.Rate / float64(l.sharers)
	e.own = min(1+rate*ownSpan.Seconds(), e.own+rate*(now-e.ownAt).Seconds())
	e.ownAt = now
	if e.own < 1 {
		return Decision{Verdict: Refused, RetryAfter: retryUnasked}
	}
	e.own--
	return Decision{Verdict: Admitted}
}

// Return takes back the admission of a request that has not run and will not.
func (l *Ledger) Return(account string) {
	e := l.entry(account)
	if e.used > 0 {
		e.used--
		return
	}
	e.returned++
}

// IsUrgent says whether an account's tokens have to be asked for at once.
func (l *Ledger) IsUrgent(a *lovageyard.Account, now time.Duration) bool {
	e := l.entry(a.Name)
	e.usesTokens = e.isTight(now) || float64(e.ahead()) > l.unreported(a)
	return e.waiting > 0 || e.usesTokens && now >= e.pausedUntil && e.tokens < e.ahead()/2
}

// ahead returns how many tokens to have in advance. None for an instance that may not use them in time: they
// would be missing elsewhere.
func (e *entry) ahead() int {
	return int(e.demand * prefetchFor.Seconds())
}

// Report returns what an owner is to be told of its accounts, which count as told from then on.
func (l *Ledger) Report(owner string, owns func(account string) bool, now time.Duration) []Use {
	var uses []Use
	for name, e := range l.entries {
		if !owns(name) {
			continue
		}
		e.expire(now)
		use := Use{Account: name, Used: e.used, Returned: e.returned, Wanted: e.wanted(now)}
		if use == (Use{Account: name}) {
			if now-e.demandAt > idleAfter {
				delete(l.entries, name)
			}
			continue
		}
		e.used, e.returned = 0, 0
		if now-e.heardAt <= trustFor {
			use.Known, use.Level, use.Unmetered, use.Switched = true, e.level, !e.tight, e.owner != owner
		}
		uses = append(uses, use)
	}
	return uses
}

// wanted returns how many tokens to ask for.
func (e *entry) wanted(now time.Duration) int {
	if now < e.pausedUntil || !e.usesTokens {
		return e.waiting
	}
	return max(e.waiting, e.ahead()-e.tokens)
}

// RestoreReport takes back a report of which it is not known whether it was heard. What was used is told again;
// what was returned is not, as it could count twice.
func (l *Ledger) RestoreReport(uses []Use) {
	for _, u := range uses {
		l.entry(u.Account).used += u.Used
	}
}

// ApplyReply takes in an owner's answer, to a question of a moment, for all accounts that it owns.
func (l *Ledger) ApplyReply(owner string, owns func(account string) bool, warmingUp bool, states []State, askedAt, now time.Duration) {
	if before := l.words[owner]; before.askedAt > askedAt {
		return
	}
	l.words[owner] = word{askedAt: askedAt, warmingUp: warmingUp}
	for name, e := range l.entries {
		if owns(name) {
			e.tight, e.heardAt, e.level, e.owner = warmingUp, askedAt, 0, owner
			e.own, e.ownAt = 0, now
		}
	}
	for _, s := range states {
		e := l.entry(s.Account)
		e.owner = owner
		e.settled(s, askedAt, now)
	}
}

func (e *entry) settled(s State, askedAt, now time.Duration) {
	e.tight, e.heardAt, e.level = s.Metered, askedAt, s.Level
	e.expire(now)
	if s.Granted > 0 && e.tokens == 0 {
		// Tokens that come to others expire with these.
		e.tokensUntil = askedAt + tokensLast
	}
	e.tokens += s.Granted
	e.expire(now)
	if s.RetryAfter > 0 {
		e.retryAfter = s.RetryAfter
		e.pausedUntil = now + min(longestPause, s.RetryAfter)
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

// expire gives back tokens that may no longer be used.
func (e *entry) expire(now time.Duration) {
	if e.tokens > 0 && now >= e.tokensUntil {
		e.returned += e.tokens
		e.tokens = 0
	}
}

// note counts a request.
func (e *entry) note(now time.Duration) {
	e.demand = e.demand*math.Exp(-float64(now-e.demandAt)/float64(demandSpan)) + 1/demandSpan.Seconds()
	e.demandAt = now
}
