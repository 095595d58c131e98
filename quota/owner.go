package quota

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// Times and shares of an owner's decisions.
const (
	// reportLasts is how long an instance that has reported counts as one of those that the owner serves;
	// instances report twice a second.
	reportLasts = time.Second
	// standInFor is how long the bucket of another's account is kept that nobody asks for: when its owner
	// answers again, the bucket here no longer tells what ran.
	standInFor = 4 * time.Second
	// inheritedPart is the part of the tokens that an owner begins with which takes over an account from
	// another: what the other handed out since its last word is not known.
	inheritedPart = 0.4
	// unsettledPart is the part of the limits that is handed out for a while after instances were missing: what
	// these have admitted is not known.
	unsettledPart = 0.8
	// settledShare is the part of the instances that have reported of late while none is missing: single reports
	// are late.
	settledShare = 0.9
	// mostInstances is the part of the instances that more have to report than to take the others for away.
	mostInstances = 0.5
	// warmUp is how long after its start an owner takes all accounts for tight, as their buckets fill.
	warmUp = time.Second
	// forgetAfter is when the full bucket of an account that sends nothing is dropped.
	forgetAfter = time.Minute
)

// Use is what an instance reports of one account since its last report.
type Use struct {
	Account string
	// Used is the number of requests that were admitted without tokens.
	Used int
	// Returned is the number of tokens that were not used and no longer will be.
	Returned int
	// Wanted is the number of tokens that the instance asks for.
	Wanted int
	// Known says that the instance has heard from an owner of late, whichever it was: Level is the number of
	// tokens in the bucket by its word, and Unmetered says that the account was not tight.
	Known     bool
	Level     int
	Unmetered bool
	// Switched says that this word was another owner's.
	Switched bool
}

// State is what an instance is told of one account.
type State struct {
	Account string
	// Granted is the number of tokens that the instance gets.
	Granted int
	// Level is the number of tokens that are left in the bucket.
	Level int
	// Metered says that requests need tokens.
	Metered bool
	// RetryAfter is when there may be tokens again for what was not granted, or 0 if that is not known: the
	// instances that share the limit have just started.
	RetryAfter time.Duration
}

// Owner hands out the tokens of accounts. It is not safe for concurrent use.
type Owner struct {
	bound   Bound
	buckets map[string]*bucket
	// reportedAt holds when each instance reported last.
	reportedAt map[string]time.Duration
	// servingSince is when most instances began to report here: before, another owner may have served them.
	servingSince time.Duration
	serving      bool
	// unsettledAt is when an instance was missing last, or another owner's account was taken over.
	unsettledAt time.Duration
}

// NewOwner returns an owner without tokens.
func NewOwner(b Bound, now time.Duration) *Owner {
	return &Owner{bound: b, buckets: make(map[string]*bucket), reportedAt: make(map[string]time.Duration), servingSince: now, unsettledAt: now}
}

// Limits tells what an owner goes by.
type Limits interface {
	// Account returns the present limits of an account, or nil if it has none.
	Account(name string) *lovageyard.Account
	// InstanceCount returns how many instances share the limits.
	InstanceCount() int
	// OwnedSince returns since when the account is this instance's to keep. It returns false if it is another's,
	// which does not answer those who report here.
	OwnedSince(name string) (time.Duration, bool)
}

// IsWarmingUp says whether accounts that Settle does not name are tight, too.
func (o *Owner) IsWarmingUp(now time.Duration) bool {
	return !o.serving || now-o.servingSince < warmUp
}

// ApplyReport takes in an instance's report and returns the states of the accounts in it and of all that are tight.
func (o *Owner) ApplyReport(instance string, uses []Use, limits Limits, now time.Duration) []State {
	o.reportedAt[instance] = now
	share := o.share(limits.InstanceCount(), now)
	var states []State
	reported := make(map[string]bool, len(uses))
	for _, u := range uses {
		a := limits.Account(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		reported[u.Account] = true
		states = append(states, o.settle(a, u, share, limits, now))
	}
	for name, b := range o.buckets {
		if now-b.at > forgetAfter {
			delete(o.buckets, name)
			continue
		}
		if b.tight && !reported[name] {
			states = append(states, State{Account: name, Metered: true})
		}
	}
	return states
}

// share returns the part of each limit that belongs to the instances that report here.
func (o *Owner) share(sharers int, now time.Duration) float64 {
	count := 0
	for name, at := range o.reportedAt {
		if now-at > reportLasts {
			delete(o.reportedAt, name)
			continue
		}
		count++
	}
	share := min(1, float64(count)/float64(max(1, sharers)))
	if serving := share > mostInstances; serving != o.serving {
		o.serving, o.servingSince = serving, now
	}
	return share
}

// bucket returns the bucket of an account. What ran before the owner took over is not known, so that a new
// bucket is empty; it has been filling since then.
func (o *Owner) bucket(a *lovageyard.Account, u Use, limits Limits, now time.Duration) *bucket {
	b := o.buckets[a.Name]
	since, isOwned := limits.OwnedSince(a.Name)
	if b != nil && (isOwned && b.at >= since || now-b.at <= standInFor) {
		if u.Switched && now-b.takenAt > reportLasts {
			// Another owner has served it until now.
			b.at, b.takenAt = now, now
			b.level = min(b.level, o.inherited(a, u))
		}
		return b
	}
	b = &bucket{at: now}
	switch {
	case isOwned && !u.Switched:
		b.at = max(since, o.servingSince)
	default:
		b.takenAt = now
	}
	b.level, b.isFirst = o.inherited(a, u), !u.Known
	o.buckets[a.Name] = b
	return b
}

// inherited returns how many tokens an account has that is taken over, by an instance's word.
func (o *Owner) inherited(a *lovageyard.Account, u Use) float64 {
	capacity := o.bound.capacity(a)
	switch {
	case !u.Known:
		return 0
	case u.Unmetered:
		return inheritedPart * max(float64(u.Level), looseLevel*capacity)
	}
	return inheritedPart * min(float64(u.Level), capacity)
}

func (o *Owner) settle(a *lovageyard.Account, u Use, share float64, limits Limits, now time.Duration) State {
	b := o.bucket(a, u, limits, now)
	if share < settledShare || b.takenAt == now || o.servingSince > o.unsettledAt {
		o.unsettledAt = now
	}
	if now-o.unsettledAt < o.bound.span() {
		share *= unsettledPart
	}
	rate, capacity := o.bound.rate(a)*share, max(1, o.bound.capacity(a)*share)
	b.advance(rate, capacity, now)
	b.fillFirst(share, o.bound.capacity(a))
	b.take(float64(u.Used-u.Returned), capacity, o.bound.span(), now)
	left := min(b.level, o.bound.allowance(a)*share-b.used.sum(o.bound.span(), now))
	granted := max(0, min(u.Wanted, int(math.Floor(left))))
	b.take(float64(granted), capacity, o.bound.span(), now)
	left -= float64(granted)
	b.demand += float64(u.Used+u.Wanted-u.Returned) / demandSpan.Seconds()
	b.judge(left, rate, capacity)
	state := State{Account: a.Name, Granted: granted, Level: max(0, int(left)), Metered: b.tight}
	if o.serving {
		state.RetryAfter = retryAfter(float64(u.Wanted-granted), left, rate)
	}
	return state
}
