package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Bounds of connections.
const (
	// dialTimeout is above a round trip between regions on a link whose queue is long; 350 ms
	// was tried and changed nothing that shows.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is how long sent bytes may go without a word from the other side; it
	// covers a few retransmissions on a link that loses packets.
	userTimeout = 900 * time.Millisecond
	// Keep-alive probes find peers that fell silent while a request is at work.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle holds for servers that do not say how long they keep a connection.
	defaultIdle = 4 * time.Second
	// idleMargin keeps reuse clear of the moment at which a server closes.
	idleMargin = 1500 * time.Millisecond
	// longestIdle bounds reuse whatever a server says.
	longestIdle = 20 * time.Second
	// unsafeIdle bounds reuse for requests that can't be repeated: a connection that was
	// used a moment ago has hardly been closed since.
	unsafeIdle = 4 * time.Second
	// maxStray is how many answers that belong to other requests are skipped.
	maxStray = 3
	// maxWhole bounds an answer, which is read whole before it is passed on.
	maxWhole = 32 << 20
	// maxGrow bounds the memory that is set aside on a server's word.
	maxGrow = 1 << 20
)

// Codec translates the headers of the wire.
type Codec interface {
	Answer(r *http.Response) lovageyard.ResponseMeta
}

// Observer is told what servers ask for in their answers.
type Observer interface {
	// Observe takes in the notice of an answer, as soon as its head is there; its request was sent at a time.
	Observe(server lovageyard.BackendServer, n lovageyard.Backpressure, sentAt time.Time)
}

// Request is one request as a backend server gets it.
type Request struct {
	Method string
	// Target is the path and query as the client wrote them.
	Target     string
	Host       string
	Header     http.Header
	Body       []byte
	ID         string
	Idempotent bool
	// MayResend says whether the budget of repeats has room for sending the request once
	// more; nil means that it is not sent again.
	MayResend func() bool
	// MaySend says whether the server still takes the request once a connection is open; nil means that it does.
	MaySend func() bool
	// Server is the server's name, and Incarnation when this life of it started; see
	// lovageyard.BackendServer.
	Server        string
	Incarnation   int64
	ServerAddress string
}

// peer returns what the request's connections lead to.
func (r Request) peer() peer {
	return peer{server: r.Server, life: r.Incarnation, address: r.ServerAddress}
}

// peer is one life of a server at one address.
type peer struct {
	server  string
	life    int64
	address string
}

// peerOf returns what connections to a server lead to.
func peerOf(s lovageyard.BackendServer) peer {
	return peer{server: s.Name, life: s.Incarnation, address: s.Address}
}

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Meta   lovageyard.ResponseMeta
	// DialTime is how long a new connection took; 0 if one was reused.
	DialTime time.Duration
}

// Transport keeps the connections to all backend servers.
type Transport struct {
	codec    Codec
	timer    lovageyard.Timer
	observer Observer

	mu     sync.Mutex
	idle   map[peer][]*conn
	closed bool
	opened int64
}

// New returns a Transport without connections; the observer may be nil.
func New(c Codec, t lovageyard.Timer, o Observer) *Transport {
	return &Transport{codec: c, timer: t, observer: o, idle: make(map[peer][]*conn)}
}

// hear tells the observer what an answer asks for, if it is the server's own and not that of another at its address.
func (l *Transport) hear(p peer, meta lovageyard.ResponseMeta, sentAt time.Time) {
	if l.observer == nil || meta.Misdirected {
		return
	}
	l.observer.Observe(lovageyard.BackendServer{Name: p.server, Incarnation: p.life, Address: p.address}, meta.Backpressure, sentAt)
}

// Send makes one attempt. The error is a *lovageyard.RequestError. When ctx ends, the
// connection is closed, by which most servers give up the request.
func (l *Transport) Send(ctx context.Context, r Request) (*Response, error) {
	c := l.take(r.peer(), r.Idempotent)
	if c == nil {
		return l.sendFresh(ctx, r)
	}
	answer, err := l.exchange(ctx, c, r)
	if !errors.Is(err, errClosed) || !r.Idempotent || ctx.Err() != nil {
		return answer, err
	}
	// The server closed the connection, perhaps as the request was on its way, perhaps after
	// it had run: at the server another send may be a repeat like any other.
	if r.MayResend == nil || !r.MayResend() {
		return answer, err
	}
	return l.resend(ctx, r)
}

// resend sends a request again that a server broke off. Whatever becomes of the second send, the first
// may have run: a refusal of the second, which is true of itself, is none of the request.
func (l *Transport) resend(ctx context.Context, r Request) (*Response, error) {
	answer, err := l.sendFresh(ctx, r)
	if err == nil && !answer.Meta.NotRun {
		return answer, nil
	}
	reason := "the backend server closed the connection and did not answer again"
	ended := isRefused(err)
	if err == nil {
		reason = "the backend server closed the connection and refused the request sent again"
		ended = answer.Meta.Misdirected
	}
	failure := lovageyard.MayHaveRun(reason, err)
	failure.ConnectionLost, failure.ServerExited = true, ended
	return nil, failure
}

// RefusesConnections says whether a server's port refuses connections. A connection that is taken is kept for
// the next request.
func (l *Transport) RefusesConnections(ctx context.Context, server lovageyard.BackendServer) bool {
	c, err := l.open(ctx, server.Address)
	if err != nil {
		return isRefused(err)
	}
	l.give(c, peerOf(server), http.Header{})
	return false
}

// open opens a connection and counts it.
func (l *Transport) open(ctx context.Context, address string) (*conn, error) {
	c, err := dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	return c, nil
}

func (l *Transport) sendFresh(ctx context.Context, r Request) (*Response, error) {
	began := l.timer.Now()
	c, err := l.open(ctx, r.ServerAddress)
	if err != nil {
		return nil, notReached(err)
	}
	took := l.timer.Now().Sub(began)
	if r.MaySend != nil && !r.MaySend() {
		l.give(c, r.peer(), http.Header{})
		return nil, withheld()
	}
	answer, err := l.exchange(ctx, c, r)
	if answer != nil {
		answer.DialTime = took
	}
	return answer, err
}

// Opened returns the number of connections opened so far.
func (l *Transport) Opened() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}
