package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
)

// manyRoutes is the number of routes in the largest configuration that operators have had.
const manyRoutes = 4000

// Guards against sending a large row in full several times. After 1,400 routes were added to 2,822 and
// another route was changed, instances with links of 10 Mbit/s had the versions in force up to 1.7 s too
// late, with processors at most 9% busy. Two relays and three random peers each sent them the whole row of
// about 1 MB at the same time. One instance received 1,333 KB a second for eight seconds, while the metric
// "peer-rows.orders" stayed at 12 and "peer-failures" rose from 8 to 37: calls timed out, and each transfer
// started again from the first byte.
func TestLargeConfigurationUsesLittleBandwidth(t *testing.T) {
	g := newGroup(t)
	l := newLink(g, rate.Inf)
	for n := range 4 {
		g.start(fmt.Sprint("entry-", n), 1, g.address)
		defer g.stop(fmt.Sprint("entry-", n))
	}
	narrow := g.startBehind(l, "narrow", "entry-0:2")
	defer g.stop("narrow")
	g.until("all live", func() bool { return narrow.View().Ready && len(narrow.View().Live) == 5 })
	before := l.sentBytes.Load()
	large := g.store.PutConfiguration(configuration(2, manyRoutes))
	size := len(g.value(large))
	// Several peers may send the row at the same time, and not all of them have finished once the first copy is applied.
	g.until("all copies of the large configuration", func() bool { return version(narrow) == 2 && l.outdatedCalls(large) == 0 })
	g.c.Assert(int(l.sentBytes.Load()-before) < size, qt.IsTrue, qt.Commentf("%d bytes for a row of %d", l.sentBytes.Load()-before, size))

	// A small change of a large configuration must be a small message.
	before = l.sentBytes.Load()
	g.store.PutConfiguration(configuration(3, manyRoutes+1))
	g.until("one route more", func() bool { return version(narrow) == 3 })
	g.c.Assert(int(l.sentBytes.Load()-before) < size/20, qt.IsTrue, qt.Commentf("%d bytes for one route more", l.sentBytes.Load()-before))
}

// An instance that starts receives the whole servers' table, which has many small, similar rows.
func TestServerTableUsesLittleBandwidth(t *testing.T) {
	const servers = 2000
	g := newGroup(t)
	l := newLink(g, rate.Inf)
	for n := range servers {
		g.store.PutServer(lovageyard.BackendServer{
			Name: fmt.Sprintf("i-%08x", n*n), Service: "desk", FailureDomain: "north-1", Address: fmt.Sprintf("10.0.%d.%d:80", n/256, n%256),
			Slots: 4, State: lovageyard.StateLive,
		})
	}
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.until("the servers", func() bool { return len(g.network.instances["entry-0:2"].View().Servers) == servers })
	narrow := g.startBehind(l, "narrow", "entry-0:2")
	defer g.stop("narrow")
	g.until("the servers from the peer", func() bool { return len(narrow.View().Servers) == servers })
	g.c.Assert(int(l.sentBytes.Load()) < 30*servers, qt.IsTrue, qt.Commentf("%d bytes for %d servers", l.sentBytes.Load(), servers))
}

// A row whose transfer takes longer than the timeout of a call still arrives, as long as bytes keep arriving.
func TestLargeConfigurationCrossesASlowLink(t *testing.T) {
	g := newGroup(t)
	// The transfer of 80 KB or more takes at least four seconds.
	l := newLink(g, 20_000)
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.store.PutConfiguration(configuration(2, manyRoutes))
	g.until("the first instance", func() bool { return version(g.network.instances["entry-0:2"]) == 2 })
	narrow := g.startBehind(l, "narrow", "entry-0:2")
	defer g.stop("narrow")
	g.until("the configuration", func() bool { return version(narrow) == 2 })
}

// configuration returns a configuration whose routes have random names, which compress as poorly as real ones.
func configuration(version uint64, routes int) lovageyard.Configuration {
	random := rand.New(rand.NewPCG(1, 1))
	c := lovageyard.Configuration{Version: version, Services: map[string]lovageyard.Service{"desk": {Name: "desk"}}}
	for range routes {
		c.Routes = append(c.Routes, lovageyard.Route{
			Name: fmt.Sprintf("r-%x", random.Uint32()), Host: "a.example", Prefix: fmt.Sprintf("/%x/", random.Uint64()),
			Attempts: 1, Parts: []lovageyard.ServiceWeight{{Service: "desk"}},
		})
	}
	return c
}

// value returns the value of the configuration row at a version.
func (g *group) value(version int64) []byte {
	client := platform.NewStore(g.address, discardLogger())
	defer client.Close()
	var changes lovageyard.Changes
	g.until("the answer of the platform", func() bool {
		var err error
		changes, err = client.Watch(context.Background(), lovageyard.TableOrders, lovageyard.Position{Version: version - 1}, 0)
		return err == nil
	})
	g.c.Assert(changes.Rows, qt.HasLen, 1)
	return changes.Rows[0].Value
}

// link is the network link of one instance: the answers of all its peers share its rate.
type link struct {
	g         *group
	limiter   *rate.Limiter
	sentBytes atomic.Int64

	mu sync.Mutex
	// calls holds the requests of the calls in progress.
	calls map[*wire.ShareRequest]bool
}

// burst is the maximum number of bytes that a link writes before it waits for its rate limiter.
const burst = 1000

// newLink returns a link with a rate in bytes a second.
func newLink(g *group, bytes rate.Limit) *link {
	return &link{g: g, limiter: rate.NewLimiter(bytes, burst), calls: make(map[*wire.ShareRequest]bool)}
}

// outdatedCalls returns the number of calls in progress whose sender had an older configuration.
func (l *link) outdatedCalls(version int64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for r := range l.calls {
		for _, cursor := range r.GetCursors() {
			if cursor.GetTable() == lovageyard.TableOrders && cursor.GetVersion() < version {
				count++
			}
		}
	}
	return count
}

// track records a call until the function that it returns is called.
func (l *link) track(r *wire.ShareRequest) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[r] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calls, r)
	}
}

// startBehind starts an instance that reaches its peers through a link, and can't reach the platform.
func (g *group) startBehind(l *link, name string, seeds ...string) *fleet.Control {
	unreachable := platform.NewStore("127.0.0.1:1", discardLogger())
	s := g.settings(name, 1, unreachable, unreachable, seeds...)
	s.Peers = linkedPeers{link: l, client: peer.NewClient(), addresses: make(map[string]string)}
	return g.startWith(s)
}

// linkedPeers calls peers over HTTP, through a link.
type linkedPeers struct {
	link      *link
	client    *peer.Client
	addresses map[string]string
}

func (p linkedPeers) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	p.link.g.network.mu.Lock()
	listening, found := p.addresses[address]
	if !found {
		listening = p.link.serve(address)
		p.addresses[address] = listening
	}
	p.link.g.network.mu.Unlock()
	defer p.link.track(r)()
	return p.client.Share(ctx, listening, r)
}

// serve starts an HTTP server for a peer and returns its address.
func (l *link) serve(address string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.g.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: wire.NewFleetServer(l.g.network.instances[address])}
	go func() { _ = server.Serve(linkListener{Listener: listener, link: l}) }()
	l.g.c.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

type linkListener struct {
	net.Listener
	link *link
}

func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return linkConn{Conn: c, link: l.link}, err
}

type linkConn struct {
	net.Conn
	link *link
}

func (c linkConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+burst)]
		if err := c.link.limiter.WaitN(context.Background(), len(piece)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		c.link.sentBytes.Add(int64(n))
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// unknownBasePeer is a peer that sends deltas from a base that no other instance has, unless full values
// are requested.
type unknownBasePeer struct {
	encoder peer.Encoder
	row     lovageyard.Row
}

func (p *unknownBasePeer) Share(_ context.Context, _ string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	baseOf := func(lovageyard.Row) (lovageyard.Row, bool) {
		return lovageyard.Row{Version: 1, Value: p.row.Value[len(p.row.Value)/2:]}, true
	}
	for _, cursor := range r.GetCursors() {
		if cursor.GetTable() == p.row.Table && cursor.GetWhole() {
			baseOf = peer.NoBase
		}
	}
	changes := lovageyard.Changes{To: p.row.Version, Rows: []lovageyard.Row{p.row}}
	return &wire.ShareReply{
		Changes: []*wire.TableChanges{{Table: p.row.Table, Changes: p.encoder.EncodeChanges(changes, baseOf)}},
		Stale:   true,
	}, nil
}

func TestRowsWithAnUnknownBaseAreRequestedInFull(t *testing.T) {
	g := newGroup(t)
	version2 := g.store.PutConfiguration(configuration(2, 100))
	other := &unknownBasePeer{row: lovageyard.Row{Table: lovageyard.TableOrders, Key: "config", Version: version2, Value: g.value(version2)}}
	unreachable := platform.NewStore("127.0.0.1:1", discardLogger())
	s := g.settings("entry-1", 1, unreachable, unreachable, "entry-0:2")
	s.Peers = other
	control := g.startWith(s)
	defer g.stop("entry-1")
	g.until("the configuration", func() bool { return version(control) == 2 })
}
