package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/timer"
)

// changeWithin is the time within which changes have to be in force in the tests.
const changeWithin = 2 * time.Second

// silencer makes calls of some instances, or to some, remain without an answer once it is closed.
type silencer struct {
	silent chan struct{}
	once   sync.Once
}

func newSilencer() *silencer {
	return &silencer{silent: make(chan struct{})}
}

func (s *silencer) close() {
	s.once.Do(func() { close(s.silent) })
}

// call makes a call whose answer is lost if the silencer is closed first.
func call[T any](ctx context.Context, s *silencer, f func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	answered := make(chan result, 1)
	go func() {
		value, err := f(ctx)
		answered <- result{value, err}
	}()
	select {
	case r := <-answered:
		return r.value, r.err
	case <-s.silent:
		<-ctx.Done()
		var none T
		return none, ctx.Err()
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// silencedPeers is a network in which calls to the named addresses remain without an answer.
type silencedPeers struct {
	fleet.Peers
	addresses func() []string
	silencer  *silencer
}

func (p silencedPeers) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	if !slices.Contains(p.addresses(), address) {
		return p.Peers.Share(ctx, address, r)
	}
	return call(ctx, p.silencer, func(ctx context.Context) (*wire.ShareReply, error) { return p.Peers.Share(ctx, address, r) })
}

// silencedFeed is a platform that no longer answers.
type silencedFeed struct {
	lovageyard.Feed
	silencer *silencer
}

func (f silencedFeed) Rows(ctx context.Context, table string) (lovageyard.Changes, error) {
	return call(ctx, f.silencer, func(ctx context.Context) (lovageyard.Changes, error) { return f.Feed.Rows(ctx, table) })
}

func (f silencedFeed) Watch(ctx context.Context, table string, after lovageyard.Position, wait time.Duration) (lovageyard.Changes, error) {
	return call(ctx, f.silencer, func(ctx context.Context) (lovageyard.Changes, error) { return f.Feed.Watch(ctx, table, after, wait) })
}

// gapFeed is a feed that counts calls and records the longest time between two watches of orders, by a clock.
type gapFeed struct {
	countingFeed
	clock *timer.Manual
	// holdOrders makes watches of orders remain without an answer.
	holdOrders atomic.Bool

	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (f *gapFeed) Watch(ctx context.Context, table string, after lovageyard.Position, wait time.Duration) (lovageyard.Changes, error) {
	if table == lovageyard.TableOrders {
		f.recordCall()
		if f.holdOrders.Load() {
			<-ctx.Done()
			return lovageyard.Changes{}, ctx.Err()
		}
	}
	return f.countingFeed.Watch(ctx, table, after, wait)
}

func (f *gapFeed) recordCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest = max(f.longest, f.clock.Now().Sub(f.last))
	f.last = f.clock.Now()
}

// restart begins to measure.
func (f *gapFeed) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest, f.last = 0, f.clock.Now()
}

// longestGap returns the longest time without a call since restart.
func (f *gapFeed) longestGap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.longest, f.clock.Now().Sub(f.last))
}

// relayGroup is a failure domain of three instances on a manual clock, two of which are relays.
type relayGroup struct {
	*group
	clock    *timer.Manual
	relays   []string
	follower *fleet.Control
	reads    *gapFeed
	// toRelays silences the calls to relays, and ofRelays the relays' calls to the platform.
	toRelays, ofRelays *silencer
}

func newRelayGroup(t *testing.T) *relayGroup {
	const count = 3
	r := &relayGroup{group: newGroup(t), clock: timer.NewManual(time.Unix(1000, 0)), toRelays: newSilencer(), ofRelays: newSilencer()}
	var all []lovageyard.EntryInstance
	for n := range count {
		all = append(all, lovageyard.EntryInstance{Name: fmt.Sprint("entry-", n), FailureDomain: "north-1"})
	}
	r.relays = instance.ChooseRelays(all, "north-1")
	var controls []*fleet.Control
	for _, i := range all {
		client := platform.NewStore(r.address, discardLogger())
		s := r.settings(i.Name, 1, client, client)
		s.Timer, s.ChangeWithin = r.clock, changeWithin
		isRelay := slices.Contains(r.relays, i.Name)
		if isRelay {
			s.Feed = silencedFeed{Feed: client, silencer: r.ofRelays}
		} else {
			r.reads = &gapFeed{countingFeed: countingFeed{Feed: client}, clock: r.clock}
			s.Feed = r.reads
		}
		s.Peers = silencedPeers{Peers: s.Peers, addresses: r.relayAddresses, silencer: r.toRelays}
		control := r.startWith(s)
		r.c.Cleanup(func() { r.stop(i.Name) })
		controls = append(controls, control)
		if !isRelay {
			r.follower = control
		}
	}
	r.untilAdvancing("all live", func() bool {
		return !slices.ContainsFunc(controls, func(c *fleet.Control) bool { return len(c.View().Live) < count || !c.View().Ready })
	})
	return r
}

func (r *relayGroup) relayAddresses() []string {
	var addresses []string
	for _, name := range r.relays {
		addresses = append(addresses, name+":2")
	}
	return addresses
}

// advance advances the clock by one step, and leaves the instances time to react.
func (r *relayGroup) advance() {
	r.clock.Advance(10 * time.Millisecond)
	time.Sleep(10 * time.Millisecond)
}

func (r *relayGroup) untilAdvancing(what string, condition func() bool) {
	r.c.Helper()
	r.until(what, func() bool {
		r.advance()
		return condition()
	})
}

// untilFollowing waits until the follower has not called the platform for longer than one of its watches lasts.
func (r *relayGroup) untilFollowing() {
	r.c.Helper()
	const quietSteps = 400
	r.untilAdvancing("the follower relies on its relays", func() bool {
		before := r.reads.calls.Load()
		for range quietSteps {
			r.advance()
		}
		return r.reads.calls.Load() == before
	})
}

// within reports whether a condition holds within a time by the clock.
func (r *relayGroup) within(limit time.Duration, condition func() bool) bool {
	for end := r.clock.Now().Add(limit); r.clock.Now().Before(end); r.advance() {
		if condition() {
			return true
		}
	}
	return false
}

// A relay that freezes, or that the platform no longer answers, sends no changes and reports no failure. Followers
// must still learn in time of a server that leaves, a drain and a configuration.
func TestFollowerOfUnreachableRelaysLearnsOfChanges(t *testing.T) {
	for name, silence := range map[string]func(r *relayGroup){
		"relays do not answer":                func(r *relayGroup) { r.toRelays.close() },
		"the platform does not answer relays": func(r *relayGroup) { r.ofRelays.close() },
		"both":                                func(r *relayGroup) { r.toRelays.close(); r.ofRelays.close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRelayGroup(t)
			server := deskServer("i-1")
			r.store.PutServer(server)
			r.untilAdvancing("the server is known", func() bool { return uses(r.follower, server.Name) })
			r.untilFollowing()
			silence(r)
			server.State = lovageyard.StateLeaving
			r.store.PutServer(server)
			r.store.Drain("north-9")
			r.store.PutConfiguration(lovageyard.Configuration{Version: 2})
			r.c.Assert(r.within(changeWithin, func() bool {
				return !uses(r.follower, server.Name) && r.follower.View().Drained["north-9"] && version(r.follower) == 2
			}), qt.IsTrue)
		})
	}
}

// An instance that could not reach the platform must notice soon that it can again, also if its relays still can't:
// time limits apply to it again 3 s after the end of its outage.
func TestFollowerOfUnreachableRelaysNoticesTheEndOfItsOutage(t *testing.T) {
	t.Parallel()
	// A call without an answer takes up to 1.2 s of the 3 s.
	const outage, maxGap = 10 * time.Second, 1800 * time.Millisecond
	r := newRelayGroup(t)
	r.untilFollowing()
	r.reads.restart()
	r.ofRelays.close()
	r.store.SetFaults(fake.StoreFaults{Status: 503})
	for end := r.clock.Now().Add(outage); r.clock.Now().Before(end); {
		r.advance()
	}
	gap := r.reads.longestGap()
	r.c.Assert(gap <= maxGap, qt.IsTrue, qt.Commentf("%v without a call", gap))
}

// A read of servers says nothing of orders if these have not been read since the relays were relied on: contact that
// counted would keep this instance, and those to which it reports, from reading them.
func TestReadOfOneTableIsNoContactWhileTheOtherIsUnread(t *testing.T) {
	t.Parallel()
	r := newRelayGroup(t)
	r.untilFollowing()
	r.reads.holdOrders.Store(true)
	r.ofRelays.close()
	calls := r.reads.calls.Load()
	for end := r.clock.Now().Add(2 * changeWithin); r.clock.Now().Before(end); {
		r.advance()
	}
	r.c.Assert(r.reads.calls.Load() >= calls+2, qt.IsTrue)
	age := r.follower.ContactAge()
	r.c.Assert(age >= changeWithin, qt.IsTrue, qt.Commentf("contact %v ago", age))
}

// Followers must not read the platform while their relays do.
func TestFollowersOfHealthyRelaysDoNotReadThePlatform(t *testing.T) {
	t.Parallel()
	r := newRelayGroup(t)
	r.untilFollowing()
}

// An instance that the platform and its peers no longer answer must stop to count on its share of the limits before
// the others divide them without it.
func TestInstanceWithoutContactIsNotListed(t *testing.T) {
	t.Parallel()
	// Rows of silent instances are removed after 20 s, and the windows of limits are 10 s long.
	const limit = 10 * time.Second
	r := newRelayGroup(t)
	r.untilFollowing()
	r.c.Assert(r.follower.IsListed(), qt.IsTrue)
	r.ofRelays.close()
	r.store.SetFaults(fake.StoreFaults{Status: 503})
	for end := r.clock.Now().Add(limit + time.Second); r.clock.Now().Before(end); {
		r.advance()
	}
	r.c.Assert(r.follower.IsListed(), qt.IsFalse)
}
