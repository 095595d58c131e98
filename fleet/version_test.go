package fleet_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
)

// During a rolling upgrade a peer of an older version does not announce that it reads compressed rows. If it
// were sent some, it would decode them as rows without values and advance its cursor, and would miss the
// change until it reads the platform itself.
func TestOlderPeerGetsUncompressedRows(t *testing.T) {
	g := newGroup(t)
	for n := range 20 {
		g.store.Put(platform.StoreTable(lovageyard.TableServers), strings.Repeat("s", n+1), map[string]any{"Addr": strings.Repeat("x", 2000)})
	}
	control := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.until("readiness", func() bool { return control.View().Ready })
	share := func(reads int32) []*wire.TableChanges {
		reply, err := control.Share(t.Context(), &wire.ShareRequest{
			From: &wire.Member{}, Cursors: []*wire.Cursor{{Table: lovageyard.TableServers}}, Reads: reads,
		})
		g.c.Assert(err, qt.IsNil)
		g.c.Assert(reply.GetChanges(), qt.HasLen, 1)
		return reply.GetChanges()
	}
	plain := share(0)[0]
	g.c.Assert(plain.GetPacked(), qt.HasLen, 0)
	g.c.Assert(plain.GetForm(), qt.Equals, int32(0))
	g.c.Assert(plain.GetChanges().GetRows(), qt.HasLen, 20)
	for _, row := range plain.GetChanges().GetRows() {
		g.c.Assert(row.GetZipped(), qt.HasLen, 0)
		g.c.Assert(len(row.GetValue()) > 2000, qt.IsTrue)
	}
	g.c.Assert(len(share(1)[0].GetPacked()) > 0, qt.IsTrue)
	g.c.Assert(share(9)[0].GetForm(), qt.Equals, int32(1))
}

// newerPeer is a peer of a later version that sends rows in an unknown encoding.
type newerPeer struct {
	calls atomic.Int64
}

func (p *newerPeer) Share(context.Context, string, *wire.ShareRequest) (*wire.ShareReply, error) {
	p.calls.Add(1)
	return &wire.ShareReply{Changes: []*wire.TableChanges{{
		Table: lovageyard.TableOrders, Form: 99,
		Changes: &wire.Changes{To: 1 << 40, Rows: []*wire.Row{{Table: lovageyard.TableOrders, Key: "config", Version: 1 << 40}}},
	}}}, nil
}

// Changes in an unknown encoding must not advance the cursor.
func TestUnknownEncodingIsRejected(t *testing.T) {
	g := newGroup(t)
	client := platform.NewStore(g.address, discardLogger())
	s := g.settings("entry-0", 1, client, client, "entry-9:2")
	peer := &newerPeer{}
	s.Peers = peer
	control := g.startWith(s)
	defer g.stop("entry-0")
	g.until("readiness", func() bool { return control.View().Ready })
	g.until("answers of the later version", func() bool { return peer.calls.Load() >= 3 })
	g.c.Assert(control.View().Cursors[lovageyard.TableOrders].Version < 1<<40, qt.IsTrue)
	next := version(control) + 1
	g.store.PutConfiguration(lovageyard.Configuration{Version: next})
	g.until("the platform's change", func() bool { return version(control) == next })
}
