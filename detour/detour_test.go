package detour_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/detour"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/timer"
)

// outage is how a network answers an instance that is partitioned from servers.
type outage struct {
	name string
	// send is the failure of an attempt, and connect that of a new connection.
	send    *lovageyard.RequestError
	connect error
}

var errRefused = errors.New("connection refused")

func refusal() *lovageyard.RequestError {
	f := lovageyard.NotRun("the backend server could not be reached", errRefused)
	f.ServerExited = true
	return f
}

func reset() *lovageyard.RequestError {
	f := lovageyard.MayHaveRun("the backend server did not answer", nil)
	f.ConnectionLost = true
	return f
}

var (
	hanging  = outage{"hanging", lovageyard.NotRun("the backend server could not be reached", context.DeadlineExceeded), context.DeadlineExceeded}
	silent   = outage{"silent", lovageyard.MayHaveRun("the backend server did not answer", context.DeadlineExceeded), context.DeadlineExceeded}
	resets   = outage{"resets", reset(), context.DeadlineExceeded}
	refusing = outage{"refusing", refusal(), errRefused}
)

// backends counts the runs of each request at all servers.
type backends struct {
	mu   sync.Mutex
	runs map[string]int
}

func (b *backends) run(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[id]++
}

func (b *backends) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// network is the direct path of one instance to the servers; it implements detour.Direct.
type network struct {
	backends *backends
	// outage applies to all servers, and outages to single ones.
	outage  atomic.Pointer[outage]
	mu      sync.Mutex
	outages map[string]outage
	// cancelled receives a value when the context of an attempt at a server named "slow" is done.
	cancelled chan struct{}
	// attempts counts the calls of Send.
	attempts atomic.Int64
	// transport, if it is set, sends all requests, to the server at address.
	transport *link.Transport
	address   string
}

func (n *network) cut(o *outage) { n.outage.Store(o) }

func (n *network) cutServer(name string, o outage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outages == nil {
		n.outages = make(map[string]outage)
	}
	n.outages[name] = o
}

func (n *network) outageOf(server string) *outage {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o, found := n.outages[server]; found {
		return &o
	}
	return n.outage.Load()
}

func (n *network) Send(ctx context.Context, r link.Request) (*link.Response, error) {
	n.attempts.Add(1)
	if o := n.outageOf(r.Server); o != nil {
		failure := *o.send
		return nil, &failure
	}
	if r.MaySend != nil && !r.MaySend() {
		return nil, lovageyard.NotRun("withheld", nil)
	}
	if n.transport != nil {
		r.ServerAddress = n.address
		return n.transport.Send(ctx, r)
	}
	if r.Server == "slow" {
		<-ctx.Done()
		n.cancelled <- struct{}{}
		return nil, lovageyard.MayHaveRun("cancelled", ctx.Err())
	}
	n.backends.run(r.ID)
	header := http.Header{"Id": {r.ID}, "Seal": {"seal of " + r.Server}}
	if r.Server == "d" {
		header.Set("Leaving", "1")
	}
	return &link.Response{Status: http.StatusOK, Header: header, Body: append([]byte(r.Method+" "+r.Target+" "), r.Body...)}, nil
}

func (n *network) Forget(string) {}

func (n *network) Connect(_ context.Context, server lovageyard.BackendServer) error {
	if o := n.outageOf(server.Name); o != nil {
		return o.connect
	}
	return nil
}

func (n *network) RefusesConnections(ctx context.Context, server lovageyard.BackendServer) bool {
	return errors.Is(n.Connect(ctx, server), errRefused)
}

// codec reads the ID and the seal of responses.
type codec struct{}

func (codec) Answer(r *http.Response) lovageyard.ResponseMeta {
	meta := lovageyard.ResponseMeta{ID: r.Header.Get("Id"), Sealed: r.Header.Get("Seal") != ""}
	meta.Backpressure.Leaving = r.Header.Get("Leaving") != ""
	return meta
}

// leavingServers records the servers that have announced that they leave.
type leavingServers struct {
	mu    sync.Mutex
	names []string
}

func (l *leavingServers) Observe(server lovageyard.BackendServer, b lovageyard.Backpressure, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.Leaving {
		l.names = append(l.names, server.Name)
	}
}

// table lists all servers of the view except one that may get nothing.
type table struct{ *fleet }

func (t table) Forward(name string, incarnation int64, _ time.Time) (lovageyard.BackendServer, bool) {
	for _, b := range t.view().Servers {
		if b.Name == name && b.Incarnation == incarnation && name != "leaving" {
			return b.BackendServer, true
		}
	}
	return lovageyard.BackendServer{}, false
}

func (table) MayForward(lovageyard.BackendServer, time.Time) bool { return true }

// fleet is a set of instances in one process that share the servers.
type fleet struct {
	memory   *footprint.Pool
	c        *qt.C
	backends backends
	names    []string
	views    map[string]*atomic.Pointer[catalog.View]
	networks map[string]*network
	senders  map[string]*detour.Sender
	servers  map[string]*detour.Server
	// lost receives the changes of the paths.
	lost    map[string]*atomic.Bool
	leaving leavingServers
}

func (f *fleet) view() *catalog.View { return f.views[f.names[0]].Load() }

// viewOf is the source of one instance's view.
type viewOf struct {
	*fleet
	name string
}

func (v viewOf) View() *catalog.View { return v.views[v.name].Load() }

// newFleet starts instances that all know each other, each in a region of its own.
func newFleet(t *testing.T, names ...string) *fleet {
	return newFleetWithMemory(t, nil, names...)
}

// newFleetWithMemory is newFleet for instances with a common memory budget.
func newFleetWithMemory(t *testing.T, memory *footprint.Pool, names ...string) *fleet {
	c := qt.New(t)
	f := &fleet{
		c: c, memory: memory, names: names, views: make(map[string]*atomic.Pointer[catalog.View]), networks: make(map[string]*network),
		senders: make(map[string]*detour.Sender), servers: make(map[string]*detour.Server), lost: make(map[string]*atomic.Bool),
	}
	snapshot := &catalog.Snapshot{}
	for _, b := range []lovageyard.BackendServer{
		{Name: "a", FailureDomain: "1"}, {Name: "b", FailureDomain: "2"}, {Name: "c", FailureDomain: "3"}, {Name: "d", FailureDomain: "3"},
		{Name: "slow", FailureDomain: "1"}, {Name: "leaving", FailureDomain: "2"},
	} {
		b.State = lovageyard.StateLive
		snapshot.Servers = append(snapshot.Servers, catalog.Server{BackendServer: b})
	}
	var live []lovageyard.EntryInstance
	for _, name := range names {
		f.views[name] = &atomic.Pointer[catalog.View]{}
		f.views[name].Store(&catalog.View{Snapshot: snapshot})
		f.start(name)
		http := httptest.NewServer(f.servers[name].Handler())
		c.Cleanup(http.Close)
		live = append(live, lovageyard.EntryInstance{Name: name, Region: "region-" + name, PeerAddress: http.Listener.Addr().String()})
	}
	for _, v := range f.views {
		v.Store(&catalog.View{Snapshot: snapshot, Live: live})
	}
	return f
}

// movePeer changes the address at which an instance knows the second one.
func (f *fleet) movePeer(from, address string) {
	view := *f.views[from].Load()
	view.Live = slices.Clone(view.Live)
	view.Live[1].PeerAddress = address
	f.views[from].Store(&view)
}

func (f *fleet) start(name string) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.networks[name] = &network{backends: &f.backends, cancelled: make(chan struct{}, 1)}
	f.lost[name] = &atomic.Bool{}
	f.senders[name] = detour.NewSender(detour.Settings{
		Self: name, Region: "region-" + name, Direct: f.networks[name], Source: viewOf{f, name}, Codec: codec{}, Observer: &f.leaving,
		Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet(), Memory: f.memory, Changed: f.lost[name].Store,
	})
	f.servers[name] = detour.NewServer(f.senders[name], table{f})
	f.c.Cleanup(f.senders[name].Close)
}

func request(id, server string) link.Request {
	return link.Request{
		Method: http.MethodPost, Target: "/a%2Fb?q=1", Host: "a.example", Header: http.Header{"X": {"1", "2"}},
		Body: []byte("body"), ID: id, Server: server,
	}
}

func (f *fleet) send(from string, r link.Request) (*link.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return f.senders[from].Send(ctx, r)
}

// maxLosses is the number of failed requests, a millisecond or more apart, after which the path must be lost.
const maxLosses = 2000

// loseAt sends requests from an instance until it has lost its path.
func (f *fleet) lose(from string) {
	servers := []string{"a", "b", "c"}
	for n := range maxLosses {
		if f.lost[from].Load() {
			return
		}
		_, _ = f.send(from, request("lost", servers[n%len(servers)]))
		time.Sleep(time.Millisecond)
	}
	f.c.Fatal("the path is not lost")
}

func failureOf(c *qt.C, err error) *lovageyard.RequestError {
	var failure *lovageyard.RequestError
	c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
	return failure
}

func TestRequestsOfPartitionedInstanceAreServed(t *testing.T) {
	for _, o := range []outage{hanging, silent, resets, refusing} {
		t.Run(o.name, func(t *testing.T) {
			f := newFleet(t, "x", "y")
			f.networks["x"].cut(&o)
			if o.name != refusing.name {
				f.lose("x")
			}
			for _, id := range []string{"1", "2", "3", "4", "5"} {
				response, err := f.send("x", request(id, "c"))
				f.c.Assert(err, qt.IsNil)
				f.c.Check(response.Through, qt.Equals, "y")
				f.c.Check(response.Status, qt.Equals, http.StatusOK)
				f.c.Check(string(response.Body), qt.Equals, "POST /a%2Fb?q=1 body")
				f.c.Check(response.Meta, qt.DeepEquals, lovageyard.ResponseMeta{ID: id, Sealed: true})
				f.c.Check(f.backends.count(id), qt.Equals, 1)
			}
		})
	}
}

func TestPathIsUsedAgainAfterPartition(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	f.networks["x"].cut(nil)
	for f.lost["x"].Load() {
		time.Sleep(10 * time.Millisecond)
	}
	response, err := f.send("x", request("1", "a"))
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(response.Through, qt.Equals, "")
}

func TestPathIsKeptWhileServersOfOthersDomainsAnswer(t *testing.T) {
	f := newFleet(t, "x", "y")
	for _, server := range []string{"a", "b", "c"} {
		f.networks["x"].cutServer(server, hanging)
	}
	for range 40 {
		for _, server := range []string{"a", "b", "c", "d"} {
			_, _ = f.send("x", request("1", server))
			f.c.Assert(f.lost["x"].Load(), qt.IsFalse)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestExitedServerIsConfirmedByPeer(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cutServer("a", refusing)
	f.networks["y"].cutServer("a", refusing)
	_, err := f.send("x", request("1", "a"))
	failure := failureOf(f.c, err)
	f.c.Assert(failure.Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(failure.ServerExited, qt.IsTrue)
	f.c.Assert(f.lost["x"].Load(), qt.IsFalse)
}

func TestRefusalsByTheNetworkAreNoCrash(t *testing.T) {
	f := newFleet(t, "x", "y")
	server := lovageyard.BackendServer{Name: "a"}
	f.networks["x"].cutServer("a", refusing)
	f.c.Assert(f.senders["x"].RefusesConnections(context.Background(), server), qt.IsTrue)
	f.networks["x"].cut(&refusing)
	f.c.Assert(f.senders["x"].RefusesConnections(context.Background(), server), qt.IsFalse)
}

func TestPartitionedPeerPassesNothingOn(t *testing.T) {
	f := newFleet(t, "x", "y", "z")
	f.networks["x"].cut(&hanging)
	f.networks["y"].cut(&hanging)
	f.lose("x")
	f.lose("y")
	attempts := f.networks["y"].attempts.Load()
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		response, err := f.send("x", request(id, "c"))
		f.c.Assert(err, qt.IsNil)
		f.c.Check(response.Through, qt.Equals, "z")
		f.c.Check(f.backends.count(id), qt.Equals, 1)
	}
	f.c.Check(f.networks["y"].attempts.Load(), qt.Equals, attempts)
}

func TestRequestThatNoPeerCanSendIsNotRun(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.networks["y"].cut(&hanging)
	f.lose("x")
	f.lose("y")
	_, err := f.send("x", request("1", "c"))
	failure := failureOf(f.c, err)
	f.c.Assert(failure.Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(failure.Inconclusive, qt.IsTrue)
}

func TestLostReplyOfPeerMayHaveRun(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	f.movePeer("x", broken.Listener.Addr().String())
	_, err := f.send("x", request("1", "c"))
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictMayHaveRun)
}

func TestUnreachablePeerIsNotRun(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	closed := httptest.NewServer(http.NotFoundHandler())
	address := closed.Listener.Addr().String()
	closed.Close()
	f.movePeer("x", address)
	_, err := f.send("x", request("1", "c"))
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictNotRun)
}

func TestUnknownCallersAreRejected(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	// Another view, as both instances run at the same host.
	f.views["y"].Store(&catalog.View{Snapshot: f.views["y"].Load().Snapshot})
	_, err := f.send("x", request("1", "c"))
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(f.backends.count("1"), qt.Equals, 0)
}

func TestServerThatGetsNothingFromPeerIsNotRun(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	_, err := f.send("x", request("1", "leaving"))
	failure := failureOf(f.c, err)
	f.c.Assert(failure.Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(failure.Throttled, qt.IsTrue)
	f.c.Assert(f.backends.count("1"), qt.Equals, 0)
}

func TestRequestStaysInItsRegions(t *testing.T) {
	f := newFleet(t, "x", "y", "z")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	for range 10 {
		r := request("1", "c")
		r.Regions = []string{"region-z"}
		response, err := f.send("x", r)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(response.Through, qt.Equals, "z")
	}
}

func TestDisconnectedCallerCancelsAttemptOfPeer(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := f.senders["x"].Send(ctx, request("1", "slow"))
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictMayHaveRun)
	<-f.networks["y"].cancelled
}

func TestClosedServerMakesNoAttempts(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	f.servers["y"].Close(context.Background())
	_, err := f.send("x", request("1", "c"))
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(f.backends.count("1"), qt.Equals, 0)
}

// An instance that leaves makes no attempts for others, which would be cut when it exits.
func TestLeavingPeerMakesNoAttempts(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	view := *f.views["y"].Load()
	view.Leaving = true
	f.views["y"].Store(&view)
	_, err := f.send("x", request("1", "c"))
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(f.backends.count("1"), qt.Equals, 0)
}

// What a server asks in an answer that a peer passes on applies to the instance that selects servers.
func TestBackpressureThroughPeerIsObserved(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	_, err := f.send("x", request("1", "d"))
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(f.leaving.names, qt.DeepEquals, []string{"d"})
}
