package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/freshness"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
)

// maxConfirmationAge is the limit on the confirmation age in the tests.
const maxConfirmationAge = 5 * time.Second

// putAccounts writes a configuration with a client account.
func (g *group) putAccounts(version uint64) {
	g.store.PutConfiguration(lovageyard.Configuration{Version: version, Accounts: []lovageyard.Account{{Name: "a"}}})
}

// startConfirming starts an instance that confirms its configuration regularly.
func (g *group) startConfirming(name, address string, seeds ...string) *fleet.Control {
	client := platform.NewStore(address, discardLogger())
	s := g.settings(name, 1, client, client, seeds...)
	s.MaxConfirmationAge = maxConfirmationAge
	return g.startWith(s)
}

// untilConfirmedSince waits until an instance's configuration was confirmed after a time.
func (g *group) untilConfirmedSince(control *fleet.Control, since time.Time) {
	g.c.Helper()
	g.until("the configuration is confirmed", func() bool { return control.ConfirmationAge() < time.Since(since) })
}

// The configuration must be confirmed regularly while only other tables change, also at an instance that
// can't reach the platform and receives rows and confirmations from a peer.
func TestConfirmationAgeStaysLow(t *testing.T) {
	g := newGroup(t)
	g.putAccounts(2)
	controls := []*fleet.Control{g.startConfirming("entry-0", g.address), g.startConfirming("entry-1", "127.0.0.1:1", "entry-0:2")}
	defer g.stop("entry-0")
	defer g.stop("entry-1")
	for n := range 3 {
		server := lovageyard.BackendServer{Name: "i-1", Service: "desk", Address: "127.0.0.1:9", Slots: n + 1, State: lovageyard.StateLive}
		g.store.PutServer(server)
		now := time.Now()
		for _, control := range controls {
			g.untilConfirmedSince(control, now)
		}
	}
}

// During an outage of the platform, instances must not confirm each other's configuration.
func TestConfirmationAgeGrowsDuringAnOutage(t *testing.T) {
	g := newGroup(t)
	g.putAccounts(2)
	first := g.startConfirming("entry-0", g.address)
	second := g.startConfirming("entry-1", "127.0.0.1:1", "entry-0:2")
	defer g.stop("entry-0")
	defer g.stop("entry-1")
	g.untilConfirmedSince(second, time.Now())
	g.store.SetFaults(fake.StoreFaults{Status: 503})
	for _, control := range []*fleet.Control{first, second} {
		g.until("an old confirmation", func() bool { return control.ConfirmationAge() > time.Second })
	}
	g.store.SetFaults(fake.StoreFaults{})
	recovered := time.Now()
	for _, control := range []*fleet.Control{first, second} {
		g.untilConfirmedSince(control, recovered)
	}
}

// An instance whose confirmation is too old reports that to its peers.
func TestInstanceReportsAStaleConfiguration(t *testing.T) {
	g := newGroup(t)
	g.putAccounts(2)
	first := g.startConfirming("entry-0", g.address)
	g.startWith(func() fleet.Settings {
		client := platform.NewStore("127.0.0.1:1", discardLogger())
		s := g.settings("entry-1", 1, client, client, "entry-0:2")
		s.MaxConfirmationAge = time.Nanosecond
		return s
	}())
	defer g.stop("entry-0")
	defer g.stop("entry-1")
	g.until("entry-1 is stale", func() bool { return considersStale(first, "entry-1") })
	g.c.Assert(considersStale(first, "entry-0"), qt.IsFalse)
}

// considersStale reports whether an instance knows another one, or itself, as stale.
func considersStale(c *fleet.Control, name string) bool {
	for _, m := range c.View().Live {
		if m.Name == name {
			return m.Stale
		}
	}
	return false
}

// Rows that an instance receives from a peer when it starts do not count as confirmed.
func TestRowsFromAPeerDoNotConfirmTheConfiguration(t *testing.T) {
	g := newGroup(t)
	g.putAccounts(2)
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	second := g.startWith(func() fleet.Settings {
		client := platform.NewStore("127.0.0.1:1", discardLogger())
		s := g.settings("entry-1", 1, client, client, "entry-0:2")
		s.Peers = unconfirmed{s.Peers}
		return s
	}())
	defer g.stop("entry-1")
	g.until("ready from peers", func() bool { return second.View().Ready })
	g.c.Assert(second.ConfirmationAge(), qt.Equals, freshness.Unknown)
}

// unconfirmed removes confirmations from replies, like peers of an older version.
type unconfirmed struct {
	fleet.Peers
}

func (p unconfirmed) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, err := p.Peers.Share(ctx, address, r)
	if reply != nil {
		reply.Confirmation = nil
	}
	return reply, err
}

// A peer's confirmation must be ignored while changes that the peer has are missing here.
func TestConfirmationOfMissingRowsIsIgnored(t *testing.T) {
	g := newGroup(t)
	g.putAccounts(2)
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	client := platform.NewStore("127.0.0.1:1", discardLogger())
	s := g.settings("entry-1", 1, client, client, "entry-0:2")
	confirmed := &atomic.Int64{}
	s.Peers = withoutChanges{s.Peers, confirmed}
	second := g.startWith(s)
	defer g.stop("entry-1")
	// An answer is applied before the next call.
	g.until("some answers confirm a configuration", func() bool { return confirmed.Load() > 4 })
	g.c.Assert(second.ConfirmationAge(), qt.Equals, freshness.Unknown)
}

// withoutChanges removes changes from replies.
type withoutChanges struct {
	fleet.Peers
	// confirmed counts the answers that confirm a configuration.
	confirmed *atomic.Int64
}

func (p withoutChanges) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, err := p.Peers.Share(ctx, address, r)
	if reply != nil {
		reply.Changes = nil
		if reply.GetConfirmation() != nil {
			p.confirmed.Add(1)
		}
	}
	return reply, err
}

// A confirmation of another era, or by a peer whose configuration this instance lacks, must be ignored.
func TestConfirmationOfAnotherEraIsIgnored(t *testing.T) {
	for _, change := range []func(*wire.Confirmation){
		func(c *wire.Confirmation) { c.Era++ },
		func(c *wire.Confirmation) { c.Configuration++ },
	} {
		g := newGroup(t)
		g.putAccounts(2)
		g.start("entry-0", 1, g.address)
		client := platform.NewStore("127.0.0.1:1", discardLogger())
		s := g.settings("entry-1", 1, client, client, "entry-0:2")
		confirmed := &atomic.Int64{}
		s.Peers = changedConfirmations{s.Peers, change, confirmed}
		second := g.startWith(s)
		g.until("some answers confirm a configuration", func() bool { return confirmed.Load() > 4 })
		g.c.Assert(second.ConfirmationAge(), qt.Equals, freshness.Unknown)
		g.stop("entry-1")
		g.stop("entry-0")
	}
}

// changedConfirmations changes the confirmations in replies, and counts them.
type changedConfirmations struct {
	fleet.Peers
	change    func(*wire.Confirmation)
	confirmed *atomic.Int64
}

func (p changedConfirmations) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, err := p.Peers.Share(ctx, address, r)
	if confirmation := reply.GetConfirmation(); confirmation != nil {
		p.change(confirmation)
		p.confirmed.Add(1)
	}
	return reply, err
}
