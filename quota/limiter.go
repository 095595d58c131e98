package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer/wire"
)

// Periods and limits of the exchange with owners.
const (
	// reportEvery is how often uses are reported that nobody waits for.
	reportEvery = 300 * time.Millisecond
	// startEvery is the same until an owner has answered for the first time.
	startEvery = 50 * time.Millisecond
	// beatEvery is how often an owner hears of an instance that has nothing to report.
	beatEvery = 500 * time.Millisecond
	// waitFor is how long a request waits for its account's owner.
	waitFor = 250 * time.Millisecond
	// waitForFirst is the same until an owner has answered for the first time: all instances may be starting.
	waitForFirst = 600 * time.Millisecond
	// callTimeout bounds a call to an owner, several times as long as the way between regions.
	callTimeout = 400 * time.Millisecond
	// avoidFor is how long an owner that did not answer is left alone; it doubles up to avoidMost with each
	// further time. Then it is tried by an empty report, beside the owner that stands in.
	avoidFor  = 2 * time.Second
	avoidMost = 16 * time.Second
)

// Source gives the view in force.
type Source interface {
	View() *catalog.View
}

// Peers reaches the owners at other instances.
type Peers interface {
	Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error)
}

// Settings are what a Limiter is made of.
type Settings struct {
	Self    string
	Bound   Bound
	Source  Source
	Peers   Peers
	Timer   lovageyard.Timer
	Logger  *logrus.Logger
	Metrics *meter.Set
}

// Limiter admits requests within their accounts' limits, as one of the instances that share them.
type Limiter struct {
	settings Settings
	context  context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	// urgent wakes the loop up.
	urgent chan struct{}

	mu     sync.Mutex
	ledger *Ledger
	owner  *Owner
	// changed is closed and made anew with each answer of an owner.
	changed chan struct{}
	// calling holds the owners that are being asked, and toldAt when each was asked last.
	calling map[string]bool
	toldAt  map[string]time.Duration
	// avoided holds until when owners are not asked.
	avoided map[string]avoidance
	// order is that in which instances keep the accounts of the view in force.
	order order
}

// NewLimiter returns a limiter that Start sets going.
func NewLimiter(s Settings) *Limiter {
	now := s.Timer.Elapsed()
	l := &Limiter{
		settings: s,
		urgent:   make(chan struct{}, 1),
		ledger:   NewLedger(now),
		owner:    NewOwner(s.Bound, now),
		changed:  make(chan struct{}),
		calling:  make(map[string]bool),
		toldAt:   make(map[string]time.Duration),
		avoided:  make(map[string]avoidance),
	}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

// Start sets the reports to owners going.
func (l *Limiter) Start() {
	ticks := l.settings.Timer.Subscribe(reportEvery)
	starting := l.settings.Timer.Subscribe(startEvery)
	l.running.Go(func() {
		defer ticks.Close()
		defer starting.Close()
		for {
			select {
			case <-ticks.C():
				l.report(false)
			case <-starting.C():
				if l.hasHeard() {
					starting.Close()
				}
				l.report(false)
			case <-l.urgent:
				l.report(true)
			case <-l.context.Done():
				return
			}
		}
	})
}

// hasHeard says whether an owner has answered.
func (l *Limiter) hasHeard() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.HasOwnerReply()
}

// Close ends the reports and waits for them.
func (l *Limiter) Close() {
	l.cancel()
	l.running.Wait()
}

// Admit says whether a request of an account is within its limit. It waits for the account's owner only
// while the account is near its limit.
func (l *Limiter) Admit(ctx context.Context, a *lovageyard.Account) Decision {
	if a == nil || a.Rate <= 0 {
		return Decision{Verdict: Admitted}
	}
	l.mu.Lock()
	l.arrange()
	now := l.settings.Timer.Elapsed()
	owner := l.ownerOf(a.Name)
	answer := l.ledger.Admit(a, owner, now)
	changed := l.changed
	urgent := l.ledger.IsUrgent(a, now)
	l.mu.Unlock()
	if urgent {
		l.wake()
	}
	if answer.Verdict == Pending {
		answer = l.await(ctx, a, changed)
	}
	if answer.Verdict == Refused {
		// Callers that were refused together come back apart.
		answer.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(answer.RetryAfter))
	}
	return answer
}

// await waits for an owner's answer to a request that is pending.
func (l *Limiter) await(ctx context.Context, a *lovageyard.Account, changed <-chan struct{}) Decision {
	wait := waitFor
	if !l.hasHeard() {
		wait = waitForFirst
	}
	over := l.settings.Timer.After(wait)
	defer over.Close()
	for {
		select {
		case <-changed:
		case <-over.C():
			return l.giveUp(a)
		case <-ctx.Done():
			return l.giveUp(a)
		}
		l.mu.Lock()
		now := l.settings.Timer.Elapsed()
		answer := l.ledger.Resume(a, now)
		changed = l.changed
		l.mu.Unlock()
		if answer.Verdict != Pending {
			return answer
		}
		l.wake()
	}
}

func (l *Limiter) giveUp(a *lovageyard.Account) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.AdmitLocally(a, l.settings.Timer.Elapsed())
}

// Return takes back the admission of a request that has not run and will not.
func (l *Limiter) Return(a *lovageyard.Account) {
	if a == nil || a.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Return(a.Name)
}

// MeteredCount returns the number of accounts that are near their limits, by the owners' word.
func (l *Limiter) MeteredCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.MeteredCount(l.settings.Timer.Elapsed())
}

func (l *Limiter) wake() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// arrange works out the order of owners anew if the view has changed.
func (l *Limiter) arrange() {
	view := l.settings.Source.View()
	if view == l.order.view {
		return
	}
	next := newOrder(view)
	next.accounts = l.order.accountsOf(view)
	next.since = l.order.since
	if next.place(l.settings.Self) != l.order.place(l.settings.Self) || next.owners() != l.order.owners() {
		next.since = l.settings.Timer.Elapsed()
	}
	l.order = next
	l.ledger.SetInstanceCount(next.sharers)
}

// ownerOf returns the owner of an account.
func (l *Limiter) ownerOf(account string) string {
	return l.ownerAt(l.order.placeOf(account))
}

// ownerAt returns the instance that owns the accounts of a place, at last this one itself.
func (l *Limiter) ownerAt(place int) string {
	isAvoided := func(name string) bool {
		_, avoided := l.avoided[name]
		return avoided
	}
	if name := l.order.at(place, isAvoided); name != "" {
		return name
	}
	return l.settings.Self
}

// owners returns the instances that own accounts.
func (l *Limiter) owners() []string {
	var owners []string
	for place := range max(1, l.order.owners()) {
		if name := l.ownerAt(place); !slices.Contains(owners, name) {
			owners = append(owners, name)
		}
	}
	return owners
}

// Account returns an account of the configuration in force, or nil.
func (l *Limiter) Account(name string) *lovageyard.Account {
	return l.order.accounts[name]
}

// OwnedSince returns since when this instance is the owner of an account, if it is.
func (l *Limiter) OwnedSince(name string) (time.Duration, bool) {
	if len(l.order.names) == 0 {
		return 0, false
	}
	return l.order.since, l.order.place(l.settings.Self) == l.order.placeOf(name)
}

// InstanceCount returns the number of instances that share the limits.
func (l *Limiter) InstanceCount() int {
	return l.order.sharers
}

// report tells all owners what they are to know, those only that somebody waits for if it is urgent.
func (l *Limiter) report(urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrange()
	if len(l.order.accounts) == 0 {
		return
	}
	now := l.settings.Timer.Elapsed()
	l.tryAvoided(now)
	for _, owner := range l.owners() {
		owns := func(account string) bool { return l.ownerOf(account) == owner }
		if l.calling[owner] {
			continue
		}
		uses := l.ledger.Report(owner, owns, now)
		if len(uses) == 0 && (urgent || now-l.toldAt[owner] < beatEvery) {
			continue
		}
		l.toldAt[owner] = now
		if owner == l.settings.Self {
			states := l.owner.ApplyReport(l.settings.Self, uses, l, now)
			l.settled(owner, owns, l.owner.IsWarmingUp(now), states, now)
			continue
		}
		l.call(owner, uses, now)
	}
}

// tryAvoided asks the owners that were left alone long enough whether they answer again.
func (l *Limiter) tryAvoided(now time.Duration) {
	for name, a := range l.avoided {
		switch {
		case l.order.addresses[name] == "":
			delete(l.avoided, name)
		case now >= a.until && !l.calling[name]:
			l.call(name, nil, now)
		}
	}
}

// call reports to the owner at another instance.
func (l *Limiter) call(owner string, uses []Use, askedAt time.Duration) {
	l.calling[owner] = true
	address := l.order.addresses[owner]
	request := toRequest(l.settings.Self, uses)
	l.running.Go(func() {
		ctx, cancel := context.WithTimeout(l.context, callTimeout)
		defer cancel()
		reply, err := l.settings.Peers.Settle(ctx, address, request)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calling, owner)
		now := l.settings.Timer.Elapsed()
		if err != nil {
			l.settings.Metrics.Count(meter.LimitReports, "failed")
			l.failed(owner, uses, now, err)
			return
		}
		l.settings.Metrics.Count(meter.LimitReports, "ok")
		owns := func(account string) bool { return l.ownerOf(account) == owner }
		l.settled(owner, owns, reply.GetWarmingUp(), fromStates(reply.GetStates()), askedAt)
	})
}

// avoidance is how long an owner is not asked.
type avoidance struct {
	span  time.Duration
	until time.Duration
}

// again returns the avoidance of an owner that has not answered once more.
func (a avoidance) again(now time.Duration) avoidance {
	span := min(avoidMost, max(avoidFor, 2*a.span))
	return avoidance{span: span, until: now + span}
}

// settled takes in an owner's answer and wakes the requests that wait for it.
func (l *Limiter) settled(owner string, owns func(string) bool, warmingUp bool, states []State, askedAt time.Duration) {
	delete(l.avoided, owner)
	l.ledger.ApplyReply(owner, owns, warmingUp, states, askedAt, l.settings.Timer.Elapsed())
	close(l.changed)
	l.changed = make(chan struct{})
}

// failed turns to the next owners.
func (l *Limiter) failed(owner string, uses []Use, now time.Duration, err error) {
	l.ledger.RestoreReport(uses)
	l.avoided[owner] = l.avoided[owner].again(now)
	if l.context.Err() == nil {
		l.settings.Logger.WithError(err).WithField("owner", owner).Info("an owner of limits did not answer")
	}
	l.wake()
}

// Settle answers the report of another instance, as the owner of some accounts.
func (l *Limiter) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrange()
	now := l.settings.Timer.Elapsed()
	states := l.owner.ApplyReport(r.GetInstance(), fromUses(r.GetUses()), l, now)
	return &wire.SettleReply{States: toStates(states), WarmingUp: l.owner.IsWarmingUp(now)}, nil
}
