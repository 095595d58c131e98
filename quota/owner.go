package quota

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// Times and fractions of the decisions of an owner.
const (
	// reportLifetime is how long an instance counts as served by the owner after a report; instances report
	// twice a second.
	reportLifetime = time.Second
	// fallbackLifetime is how long the bucket of an account that belongs to another owner is kept without
	// reports. Once that owner replies again, the bucket here is out of date.
	fallbackLifetime = 4 * time.Second
	// inheritedFraction is the fraction of the reported tokens that an owner starts with when it takes over an
	// account, as it does not know what the previous owner has handed out since its last reply.
	inheritedFraction = 0.4
	// incompleteFraction is the fraction of the limits that is handed out for a while after instances were
	// missing, as it is not known what these have admitted.
	incompleteFraction = 0.8
	// completeShare is the share of the instances with a recent report from which on none counts as missing,
	// as single reports may be late.
	completeShare = 0.9
	// majority is the share of the instances that has to be exceeded for the owner to serve; the remaining
	// ones may be served by another owner.
	majority = 0.5
	// warmUpPeriod is how long after its start an owner treats all accounts as metered while their buckets
	// fill.
	warmUpPeriod = time.Second
	// bucketIdleTimeout is when the bucket of an account without requests is removed.
	bucketIdleTimeout = time.Minute
)

// Use is what an instance reports of one account since its last report.
type Use struct {
	Account string
	// Used is the number of requests that were admitted without tokens.
	Used int
	// Returned is the number of tokens that were not used and no longer will be.
	Returned int
	// Wanted is the number of tokens that the instance requests.
	Wanted int
	// Known reports whether the instance has a recent reply of any owner. If so, Level is the number of tokens
	// in the bucket by that reply, and Unmetered whether the account was unmetered.
	Known     bool
	Level     int
	Unmetered bool
	// Switched reports whether that reply came from a different owner.
	Switched bool
}

// State is the owner's reply on one account.
type State struct {
	Account string
	// Granted is the number of tokens that the instance gets.
	Granted int
	// Level is the number of tokens left in the bucket.
	Level int
	// Metered reports whether requests need tokens.
	Metered bool
	// RetryAfter is when there may be tokens for what was not granted. It is 0 if everything was granted, or
	// if too few instances report to the owner for it to know.
	RetryAfter time.Duration
}

// Owner hands out the tokens of accounts. It is not safe for concurrent use.
type Owner struct {
	bound   Bound
	buckets map[string]*bucket
	// reportedAt holds the time of the last report of each instance.
	reportedAt map[string]time.Duration
	// serving means that a majority of the instances report here, and servingSince is when that last changed.
	// Before that, another owner may have served them.
	servingSince time.Duration
	serving      bool
	// incompleteAt is when an instance was last missing, or an account was last taken over.
	incompleteAt time.Duration
}

// NewOwner returns an owner without buckets. Times are readings of a monotonic clock.
func NewOwner(b Bound, now time.Duration) *Owner {
	return &Owner{bound: b, buckets: make(map[string]*bucket), reportedAt: make(map[string]time.Duration), servingSince: now, incompleteAt: now}
}

// Limits provides the configured limits to an Owner, and its part in them.
type Limits interface {
	// Account returns the current limits of an account, or nil if it has none.
	Account(name string) *lovageyard.Account
	// InstanceCount returns the number of instances that share the limits.
	InstanceCount() int
	// OwnedSince returns since when this instance owns the account. It returns false if the account belongs to
	// another owner, which the reporting instances cannot reach.
	OwnedSince(name string) (time.Duration, bool)
}

// IsWarmingUp reports whether accounts that ApplyReport does not return are metered as well.
func (o *Owner) IsWarmingUp(now time.Duration) bool {
	return !o.serving || now-o.servingSince < warmUpPeriod
}

// ApplyReport applies an instance's report. It returns the states of the reported accounts and of all other
// metered ones.
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
		states = append(states, o.applyUse(a, u, share, limits, now))
	}
	for name, b := range o.buckets {
		if now-b.updatedAt > bucketIdleTimeout {
			delete(o.buckets, name)
			continue
		}
		if b.metered && !reported[name] {
			states = append(states, State{Account: name, Metered: true})
		}
	}
	return states
}

// share returns the fraction of each limit that corresponds to the instances that report here.
func (o *Owner) share(instances int, now time.Duration) float64 {
	count := 0
	for name, at := range o.reportedAt {
		if now-at > reportLifetime {
			delete(o.reportedAt, name)
			continue
		}
		count++
	}
	share := min(1, float64(count)/float64(max(1, instances)))
	if serving := share > majority; serving != o.serving {
		o.serving, o.servingSince = serving, now
	}
	return share
}

// bucket returns the bucket of an account and creates it if necessary. A new bucket starts with a part of the
// tokens that the instance reports. It is refilled from now on if another owner has served the account, and
// otherwise from the time at which this instance became the owner.
func (o *Owner) bucket(a *lovageyard.Account, u Use, limits Limits, now time.Duration) *bucket {
	b := o.buckets[a.Name]
	ownedSince, isOwned := limits.OwnedSince(a.Name)
	if b != nil && (isOwned && b.updatedAt >= ownedSince || now-b.updatedAt <= fallbackLifetime) {
		if u.Switched && now-b.takenOverAt > reportLifetime {
			// Another owner has served the account since.
			b.updatedAt, b.takenOverAt = now, now
			b.level = min(b.level, o.inheritedLevel(a, u))
		}
		return b
	}
	b = &bucket{updatedAt: now}
	switch {
	case isOwned && !u.Switched:
		b.updatedAt = max(ownedSince, o.servingSince)
	default:
		b.takenOverAt = now
	}
	b.level, b.unknownBefore = o.inheritedLevel(a, u), !u.Known
	o.buckets[a.Name] = b
	return b
}

// inheritedLevel returns the initial tokens of an account that is taken over, based on an instance's report.
func (o *Owner) inheritedLevel(a *lovageyard.Account, u Use) float64 {
	capacity := o.bound.capacity(a)
	switch {
	case !u.Known:
		return 0
	case u.Unmetered:
		return inheritedFraction * max(float64(u.Level), unmeteredLevel*capacity)
	}
	return inheritedFraction * min(float64(u.Level), capacity)
}

func (o *Owner) applyUse(a *lovageyard.Account, u Use, share float64, limits Limits, now time.Duration) State {
	b := o.bucket(a, u, limits, now)
	if share < completeShare || b.takenOverAt == now || o.servingSince > o.incompleteAt {
		o.incompleteAt = now
	}
	if now-o.incompleteAt < o.bound.accountingWindow() {
		share *= incompleteFraction
	}
	rate, capacity := o.bound.rate(a)*share, max(1, o.bound.capacity(a)*share)
	b.advance(rate, capacity, now)
	b.fillInitial(share, o.bound.capacity(a))
	b.take(float64(u.Used-u.Returned), capacity, o.bound.accountingWindow(), now)
	left := min(b.level, o.bound.allowance(a)*share-b.spent.sum(o.bound.accountingWindow(), now))
	granted := max(0, min(u.Wanted, int(math.Floor(left))))
	b.take(float64(granted), capacity, o.bound.accountingWindow(), now)
	left -= float64(granted)
	b.demand += float64(u.Used+u.Wanted-u.Returned) / demandWindow.Seconds()
	b.updateMetered(left, rate, capacity)
	state := State{Account: a.Name, Granted: granted, Level: max(0, int(left)), Metered: b.metered}
	if o.serving {
		state.RetryAfter = retryAfter(float64(u.Wanted-granted), left, rate)
	}
	return state
}
