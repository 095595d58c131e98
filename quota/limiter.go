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

// Intervals and timeouts of the exchange with owners.
const (
	// reportInterval is the interval of reports that no request waits for.
	reportInterval = 300 * time.Millisecond
	// startupReportInterval is the same until an owner has replied for the first time.
	startupReportInterval = 50 * time.Millisecond
	// heartbeatInterval is the interval of reports from an instance that has nothing to report.
	heartbeatInterval = 500 * time.Millisecond
	// pendingTimeout is how long a request waits for its account's owner.
	pendingTimeout = 250 * time.Millisecond
	// startupPendingTimeout is the same until an owner has replied for the first time, as all instances may be
	// starting.
	startupPendingTimeout = 600 * time.Millisecond
	// callTimeout bounds a call to an owner; it is several times the network delay between regions.
	callTimeout = 400 * time.Millisecond
	// minAvoidance is how long an owner that did not reply is avoided. The time doubles with each further
	// failure, up to maxAvoidance. Afterwards the owner is probed with an empty report; its fallback serves
	// until a probe succeeds.
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
)

// Source provides the current view of instances and configuration.
type Source interface {
	View() *catalog.View
}

// Peers sends reports to the owners at other instances.
type Peers interface {
	Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error)
}

// Settings are the name of this instance, the bound to enforce, and the dependencies of a Limiter.
type Settings struct {
	Self    string
	Bound   Bound
	Source  Source
	Peers   Peers
	Timer   lovageyard.Timer
	Logger  *logrus.Logger
	Metrics *meter.Set
}

// Limiter enforces the limits at one of the instances that share them. It is safe for concurrent use, except
// for Account, OwnedSince and InstanceCount, which its Owner calls with the lock held.
type Limiter struct {
	settings   Settings
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// urgent triggers an immediate report.
	urgent chan struct{}

	mu     sync.Mutex
	ledger *Ledger
	owner  *Owner
	// changed is closed and replaced with each reply of an owner.
	changed chan struct{}
	// inCall holds the owners with a call in progress, and reportedAt the time of the last report to each.
	inCall     map[string]bool
	reportedAt map[string]time.Duration
	// avoided holds the owners that are avoided after failures.
	avoided map[string]avoidance
	// order is the ranking of the owners in the current view.
	order ownerOrder
}

// NewLimiter returns a limiter; Start begins its reports.
func NewLimiter(s Settings) *Limiter {
	now := s.Timer.Elapsed()
	l := &Limiter{
		settings:   s,
		urgent:     make(chan struct{}, 1),
		ledger:     NewLedger(now),
		owner:      NewOwner(s.Bound, now),
		changed:    make(chan struct{}),
		inCall:     make(map[string]bool),
		reportedAt: make(map[string]time.Duration),
		avoided:    make(map[string]avoidance),
	}
	l.context, l.cancel = context.WithCancel(context.Background())
	return l
}

// Start begins the periodic reports to owners.
func (l *Limiter) Start() {
	ticker := l.settings.Timer.Subscribe(reportInterval)
	startupTicker := l.settings.Timer.Subscribe(startupReportInterval)
	l.goroutines.Go(func() {
		defer ticker.Close()
		defer startupTicker.Close()
		for {
			select {
			case <-ticker.C():
				l.report(false)
			case <-startupTicker.C():
				if l.hasOwnerReply() {
					startupTicker.Close()
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

// hasOwnerReply reports whether any owner has replied since the start.
func (l *Limiter) hasOwnerReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.HasOwnerReply()
}

// Close cancels the reports and waits until they have returned.
func (l *Limiter) Close() {
	l.cancel()
	l.goroutines.Wait()
}

// Admit decides whether a request is within its account's limit. It waits for the account's owner only if the
// request needs a token that this instance does not have, and never returns Pending.
func (l *Limiter) Admit(ctx context.Context, a *lovageyard.Account) Decision {
	if a == nil || a.Rate <= 0 {
		return Decision{Verdict: Admitted}
	}
	l.mu.Lock()
	l.updateOrder()
	now := l.settings.Timer.Elapsed()
	owner := l.ownerOf(a.Name)
	decision := l.ledger.Admit(a, owner, now)
	changed := l.changed
	urgent := l.ledger.IsUrgent(a, now)
	l.mu.Unlock()
	if urgent {
		l.wake()
	}
	if decision.Verdict == Pending {
		decision = l.await(ctx, a, changed)
	}
	if decision.Verdict == Refused {
		// Callers that were refused together retry at different times.
		decision.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(decision.RetryAfter))
	}
	return decision
}

// await waits for the reply that decides on a pending request.
func (l *Limiter) await(ctx context.Context, a *lovageyard.Account, changed <-chan struct{}) Decision {
	wait := pendingTimeout
	if !l.hasOwnerReply() {
		wait = startupPendingTimeout
	}
	timeout := l.settings.Timer.After(wait)
	defer timeout.Close()
	for {
		select {
		case <-changed:
		case <-timeout.C():
			return l.admitLocally(a)
		case <-ctx.Done():
			return l.admitLocally(a)
		}
		l.mu.Lock()
		now := l.settings.Timer.Elapsed()
		decision := l.ledger.Resume(a, now)
		changed = l.changed
		l.mu.Unlock()
		if decision.Verdict != Pending {
			return decision
		}
		l.wake()
	}
}

func (l *Limiter) admitLocally(a *lovageyard.Account) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.AdmitLocally(a, l.settings.Timer.Elapsed())
}

// Return takes back the admission of a request that was not run and will not be.
func (l *Limiter) Return(a *lovageyard.Account) {
	if a == nil || a.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Return(a.Name)
}

// MeteredCount returns the number of accounts that need tokens according to their owners.
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

// updateOrder recomputes the ranking of owners if the view has changed.
func (l *Limiter) updateOrder() {
	view := l.settings.Source.View()
	if view == l.order.view {
		return
	}
	next := newOwnerOrder(view)
	next.accounts = l.order.accountsOf(view)
	next.since = l.order.since
	if next.rankOf(l.settings.Self) != l.order.rankOf(l.settings.Self) || next.owners() != l.order.owners() {
		next.since = l.settings.Timer.Elapsed()
	}
	l.order = next
	l.ledger.SetInstanceCount(next.instances)
}

// ownerOf returns the owner of an account.
func (l *Limiter) ownerOf(account string) string {
	return l.ownerAt(l.order.ownerRank(account))
}

// ownerAt returns the instance that owns the accounts of a rank, or this one if all candidates are avoided.
func (l *Limiter) ownerAt(rank int) string {
	isAvoided := func(name string) bool {
		_, avoided := l.avoided[name]
		return avoided
	}
	if name := l.order.instanceAt(rank, isAvoided); name != "" {
		return name
	}
	return l.settings.Self
}

// owners returns the instances that own accounts.
func (l *Limiter) owners() []string {
	var owners []string
	for rank := range max(1, l.order.owners()) {
		if name := l.ownerAt(rank); !slices.Contains(owners, name) {
			owners = append(owners, name)
		}
	}
	return owners
}

// Account returns an account of the current configuration, or nil.
func (l *Limiter) Account(name string) *lovageyard.Account {
	return l.order.accounts[name]
}

// OwnedSince returns whether this instance owns an account, and since when it has held its rank among the
// owners.
func (l *Limiter) OwnedSince(name string) (time.Duration, bool) {
	if len(l.order.names) == 0 {
		return 0, false
	}
	return l.order.since, l.order.rankOf(l.settings.Self) == l.order.ownerRank(name)
}

// InstanceCount returns the number of instances that share the limits.
func (l *Limiter) InstanceCount() int {
	return l.order.instances
}

// report sends reports to all owners, or, if urgent, only to those with something to report.
func (l *Limiter) report(urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateOrder()
	if len(l.order.accounts) == 0 {
		return
	}
	now := l.settings.Timer.Elapsed()
	l.probeAvoided(now)
	for _, owner := range l.owners() {
		owns := func(account string) bool { return l.ownerOf(account) == owner }
		if l.inCall[owner] {
			continue
		}
		uses := l.ledger.Report(owner, owns, now)
		if len(uses) == 0 && (urgent || now-l.reportedAt[owner] < heartbeatInterval) {
			continue
		}
		l.reportedAt[owner] = now
		if owner == l.settings.Self {
			states := l.owner.ApplyReport(l.settings.Self, uses, l, now)
			l.applyReply(owner, owns, l.owner.IsWarmingUp(now), states, now)
			continue
		}
		l.call(owner, uses, now)
	}
}

// probeAvoided sends empty reports to owners whose avoidance has passed.
func (l *Limiter) probeAvoided(now time.Duration) {
	for name, a := range l.avoided {
		switch {
		case l.order.addresses[name] == "":
			delete(l.avoided, name)
		case now >= a.until && !l.inCall[name]:
			l.call(name, nil, now)
		}
	}
}

// call reports to an owner at another instance.
func (l *Limiter) call(owner string, uses []Use, askedAt time.Duration) {
	l.inCall[owner] = true
	address := l.order.addresses[owner]
	request := toRequest(l.settings.Self, uses)
	l.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(l.context, callTimeout)
		defer cancel()
		reply, err := l.settings.Peers.Settle(ctx, address, request)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.inCall, owner)
		now := l.settings.Timer.Elapsed()
		if err != nil {
			l.settings.Metrics.Count(meter.LimitReports, "failed")
			l.handleFailure(owner, uses, now, err)
			return
		}
		l.settings.Metrics.Count(meter.LimitReports, "ok")
		owns := func(account string) bool { return l.ownerOf(account) == owner }
		l.applyReply(owner, owns, reply.GetWarmingUp(), fromStates(reply.GetStates()), askedAt)
	})
}

// avoidance is the backoff of an owner that did not reply.
type avoidance struct {
	duration time.Duration
	until    time.Duration
}

// extend returns the avoidance after a further failure.
func (a avoidance) extend(now time.Duration) avoidance {
	duration := min(maxAvoidance, max(minAvoidance, 2*a.duration))
	return avoidance{duration: duration, until: now + duration}
}

// applyReply applies an owner's reply and wakes the requests that wait for it.
func (l *Limiter) applyReply(owner string, owns func(string) bool, warmingUp bool, states []State, askedAt time.Duration) {
	delete(l.avoided, owner)
	l.ledger.ApplyReply(owner, owns, warmingUp, states, askedAt, l.settings.Timer.Elapsed())
	close(l.changed)
	l.changed = make(chan struct{})
}

// handleFailure restores a failed report and switches to the next owner.
func (l *Limiter) handleFailure(owner string, uses []Use, now time.Duration, err error) {
	l.ledger.RestoreReport(uses)
	l.avoided[owner] = l.avoided[owner].extend(now)
	if l.context.Err() == nil {
		l.settings.Logger.WithError(err).WithField("owner", owner).Info("quota owner did not reply; using the next owner")
	}
	l.wake()
}

// Settle handles the report of another instance to this one as an owner.
func (l *Limiter) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateOrder()
	now := l.settings.Timer.Elapsed()
	states := l.owner.ApplyReport(r.GetInstance(), fromUses(r.GetUses()), l, now)
	return &wire.SettleReply{States: toStates(states), WarmingUp: l.owner.IsWarmingUp(now)}, nil
}
