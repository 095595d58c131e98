package dispatch

import (
	"math"
	"slices"
	"time"
)

// In an overload a part of the requests has to be refused. Less urgent ones are refused first, and among those of one
// priority those of client accounts that get more than their fair share, so that an account which floods a service
// harms itself first. But no priority may starve: a more urgent one could otherwise take all servers for good.
//
// Each instance decides by the requests that it has received itself in the last seconds.

const (
	// admissionWindow is the time constant of the counts of requests.
	admissionWindow = time.Second
	// minServedFraction is the part of the mean share of accepted requests below which no priority is shed. It
	// is above the quarter that callers are promised, as instances do not know each other's counts.
	minServedFraction = 0.28
	// minLevelRequests is the number of recent requests from which the share of a priority is judged.
	minLevelRequests = 2
	// fairShareSlack is the number of recent requests by which an account may exceed its fair share, so that
	// accounts with few requests are not refused because two of them came together.
	fairShareSlack = 2
	// scarceShare is the share of accepted requests of a priority below which accounts beyond their fair share,
	// and those of lower rank, leave room in queues.
	scarceShare = 0.9
	// minRetryShare bounds the share of accepted requests by which retry times are prolonged, and maxRetryShare is
	// the part of a request's goal that they may take up.
	minRetryShare = 0.2
	maxRetryShare = 0.4
	// sweepInterval is how often accounts that send nothing any more are removed, and idleAccount the number of
	// recent requests below which an account sends none.
	sweepInterval = 250 * time.Millisecond
	idleAccount   = 0.05
)

// recentCount is a count that decays with admissionWindow.
type recentCount struct {
	count float64
	at    time.Time
}

func (c *recentCount) add(n float64, now time.Time) {
	c.count = max(0, c.value(now)+n)
	if now.After(c.at) {
		c.at = now
	}
}

func (c *recentCount) value(now time.Time) float64 {
	return c.count * math.Exp(-max(0, float64(now.Sub(c.at)))/float64(admissionWindow))
}

// demand counts requests and how many of them were accepted.
type demand struct {
	requested, accepted recentCount
}

// acceptedShare returns the share of the recent requests that were accepted.
func (d *demand) acceptedShare(now time.Time) float64 {
	requested := d.requested.value(now)
	if requested == 0 {
		return 1
	}
	return min(1, d.accepted.value(now)/requested)
}

// admission counts the recent requests of a service by priority and by account.
type admission struct {
	all demand
	// levels are the priorities, the most urgent first.
	levels   []*level
	accounts map[string]*demand
	sweptAt  time.Time
}

// level counts the requests of one priority.
type level struct {
	priority
	demand
	// within and beyond are the work requested by accounts within and beyond their fair share, in seconds.
	within, beyond recentCount
}

// standing is the state of a request's priority and account as the request arrives.
type standing struct {
	// belowFloor means that the priority is served so much less than others that it is not shed now.
	belowFloor bool
	// beyondShare means that the account gets more than its fair share.
	beyondShare bool
	// maxLoad is the load, in multiples of a server's slots, up to which the request may enter a queue; 0 means
	// no special limit. It is set if requests of accounts of higher rank are refused for lack of room, or those of
	// its own priority while its account gets more than its fair share.
	maxLoad float64
}

// isCounted reports whether a service's requests are counted: if they are ordered, and differ in priority or have
// accounts.
func (s *service) isCounted(r Request) bool {
	return s.ordered && (s.protected != nil || r.Account != "")
}

// record counts a request and returns its standing. Further attempts of a request, or a choice
// after it has waited, are not counted again.
func (a *admission) record(r Request, work time.Duration) standing {
	a.sweep(r.Now)
	level, account := a.level(r.priority()), a.account(r.Account)
	result := standing{belowFloor: a.isBelowFloor(level, r.Now)}
	room := a.moreUrgentShare(level, r.Now)
	if account != nil {
		fairShare := a.all.accepted.value(r.Now) / float64(max(1, len(a.accounts)))
		result.beyondShare = account.accepted.value(r.Now) > fairShare+fairShareSlack
		if result.beyondShare {
			room = min(room, level.acceptedShare(r.Now))
		}
	}
	if room < scarceShare {
		result.maxLoad = 1 + (maxLoadOther-1)*room
	}
	if len(r.Tried) > 0 || r.Waited {
		return result
	}
	a.all.requested.add(1, r.Now)
	level.requested.add(1, r.Now)
	if account != nil {
		account.requested.add(1, r.Now)
	}
	if result.beyondShare {
		level.beyond.add(work.Seconds(), r.Now)
	} else {
		level.within.add(work.Seconds(), r.Now)
	}
	return result
}

// accept counts n accepted requests; it is negative if a server has not run a request that was accepted.
func (a *admission) accept(p priority, account string, n float64, now time.Time) {
	a.all.accepted.add(n, now)
	a.level(p).accepted.add(n, now)
	if d := a.accounts[account]; d != nil {
		d.accepted.add(n, now)
	}
}

// withdraw counts a choice as not accepted, as no server has run it.
func (c Choice) withdraw(now time.Time) {
	if c.counted {
		age := now.Sub(c.sentAt)
		c.service.admission.accept(c.priority, c.account, -math.Exp(-float64(age)/float64(admissionWindow)), now)
	}
}

// isBelowFloor reports whether a priority is accepted less often than minServedFraction of the mean.
func (a *admission) isBelowFloor(level *level, now time.Time) bool {
	return level.requested.value(now) >= minLevelRequests &&
		level.acceptedShare(now) < minServedFraction*a.all.acceptedShare(now)
}

// moreUrgentShare returns the least share of accepted requests among the priorities with a more urgent account and a
// route that is no less urgent. Requests of urgent accounts for a less urgent route do not count: they may be refused
// for the goals of other routes only.
func (a *admission) moreUrgentShare(level *level, now time.Time) float64 {
	share := 1.0
	for _, other := range a.levels {
		if other.account < level.account && other.route <= level.route && other.requested.value(now) >= minLevelRequests {
			share = min(share, other.acceptedShare(now))
		}
	}
	return share
}

// position returns the place of a request in the order in which requests are accepted in an overload, from 0 to 1:
// by priority, then accounts within their fair share first, then by object. Each group takes the part of the range
// that is its part of the work.
func (a *admission) position(p priority, s standing, objectRank float64, now time.Time) float64 {
	before, own, all := 0.0, 0.0, 0.0
	for _, other := range a.levels {
		within, beyond := other.within.value(now), other.beyond.value(now)
		all += within + beyond
		switch {
		case other.priority.isBefore(p):
			before += within + beyond
		case other.priority == p && s.beyondShare:
			before += within
			own = beyond
		case other.priority == p:
			own = within
		}
	}
	if all == 0 {
		return objectRank
	}
	return (before + own*objectRank) / all
}

// retryAfter returns when a refused client should retry, given how long a server takes to finish the requests that it
// has now. Others return meanwhile, and as many of them are refused as now: the more, the longer a client waits, up
// to the time with which its request still meets its goal.
func (a *admission) retryAfter(r Request, drained time.Duration) time.Duration {
	share := max(minRetryShare, a.level(r.priority()).acceptedShare(r.Now))
	return max(drained, min(time.Duration(float64(drained)/share), time.Duration(maxRetryShare*float64(goalOrDefault(r.Route.Goal)))))
}

// level returns the counts of a priority.
func (a *admission) level(p priority) *level {
	for i, l := range a.levels {
		if l.priority == p {
			return l
		}
		if p.isBefore(l.priority) {
			a.levels = slices.Insert(a.levels, i, &level{priority: p})
			return a.levels[i]
		}
	}
	added := &level{priority: p}
	a.levels = append(a.levels, added)
	return added
}

// account returns the counts of an account, or nil for requests without one.
func (a *admission) account(name string) *demand {
	if name == "" {
		return nil
	}
	d := a.accounts[name]
	if d == nil {
		if a.accounts == nil {
			a.accounts = make(map[string]*demand)
		}
		d = &demand{}
		a.accounts[name] = d
	}
	return d
}

// sweep removes the accounts that have sent nothing lately.
func (a *admission) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	for name, d := range a.accounts {
		if d.requested.value(now) < idleAccount {
			delete(a.accounts, name)
		}
	}
}
