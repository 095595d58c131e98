package link

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Limits of connections and responses.
const (
	// dialTimeout is longer than a round trip between regions on a link with a long queue.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is how long sent data may remain unacknowledged. It covers a few retransmissions
	// on a link that loses packets.
	userTimeout = 900 * time.Millisecond
	// TCP keep-alive detects servers that become unreachable while a request is running.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultMaxIdle applies to servers that do not announce how long they keep a connection.
	defaultMaxIdle = 4 * time.Second
	// idleMargin is subtracted from the announced time, so that a connection is not reused just as
	// the server closes it.
	idleMargin = 1500 * time.Millisecond
	// maxIdleTime limits the idle time of any connection, whatever the server announces.
	maxIdleTime = 20 * time.Second
	// nonIdempotentMaxIdle limits the idle time of connections for requests that can't be retried:
	// a connection that was used recently has hardly been closed since.
	nonIdempotentMaxIdle = 4 * time.Second
	// maxStrayResponses is how many responses are read in search of the one that belongs to a
	// request; the others are skipped.
	maxStrayResponses = 3
	// maxBodyBytes limits the body of a response that is read into memory.
	maxBodyBytes = 32 << 20
	// maxPreallocBytes limits the memory that is allocated in advance according to Content-Length.
	maxPreallocBytes = 1 << 20
)

// Codec extracts the metadata of responses, which depends on the servers' platform.
type Codec interface {
	Answer(r *http.Response) lovageyard.ResponseMeta
}

// Observer is notified of the backpressure that servers request in their responses.
type Observer interface {
	// Observe is called with the backpressure of each response as soon as its header is read; the
	// request was sent at sentAt. It may be called concurrently.
	Observe(server lovageyard.BackendServer, requested lovageyard.Backpressure, sentAt time.Time)
}

// Request is one attempt of a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as sent by the client.
	Target     string
	Host       string
	Header     http.Header
	Body       []byte
	ID         string
	Idempotent bool
	// MayResend reports whether the request may be sent once more if the server has closed a reused
	// connection; it is called only then. nil means that it may not.
	MayResend func() bool
	// MaySend is called after a new connection was opened and reports whether the request may still
	// be sent; nil means that it may.
	MaySend func() bool
	// Reserve is called before the body of a response is read into memory; nil means that nothing limits it.
	// It may wait until the context of Send is done.
	Reserve Reserve
	// Server is the server's name, and Incarnation the start time of its incarnation; see
	// lovageyard.BackendServer.
	Server        string
	Incarnation   int64
	ServerAddress string
	// ServerDomain and ServerRegion are the failure domain and the region of the server.
	ServerDomain string
	ServerRegion string
	// Regions are the regions that the request may pass through; empty means all.
	Regions []string
}

// endpoint returns the endpoint that the request is sent to.
func (r Request) endpoint() endpoint {
	return endpoint{server: r.Server, incarnation: r.Incarnation, address: r.ServerAddress}
}

// endpoint identifies one incarnation of a server at one address. Connections are not shared
// between endpoints.
type endpoint struct {
	server      string
	incarnation int64
	address     string
}

// endpointOf returns the endpoint of a server.
func endpointOf(s lovageyard.BackendServer) endpoint {
	return endpoint{server: s.Name, incarnation: s.Incarnation, address: s.Address}
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Meta   lovageyard.ResponseMeta
	// DialTime is how long a new connection took; 0 if one was reused.
	DialTime time.Duration
	// Skipped is the number of answers to earlier requests that came before this one.
	Skipped int
	// Through is the name of the instance through which the request was sent, or "".
	Through string
}

// Transport sends requests and keeps the idle connections to all backend servers. It is safe for
// concurrent use.
type Transport struct {
	codec    Codec
	timer    lovageyard.Timer
	observer Observer

	// context ends when the Transport is closed, and renewals waits for the connections that are
	// being replaced.
	context  context.Context
	cancel   context.CancelFunc
	renewals sync.WaitGroup

	mu     sync.Mutex
	idle   map[endpoint][]*conn
	usage  map[endpoint]*usage
	closed bool
	opened int64
}

// New returns a Transport without connections. The observer may be nil.
func New(c Codec, t lovageyard.Timer, o Observer) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		codec:    c,
		timer:    t,
		observer: o,
		context:  ctx,
		cancel:   cancel,
		idle:     make(map[endpoint][]*conn),
		usage:    make(map[endpoint]*usage),
	}
}

// notifyObserver passes the backpressure of a response to the observer, unless the response is from
// another server at the address.
func (t *Transport) notifyObserver(p endpoint, meta lovageyard.ResponseMeta, sentAt time.Time) {
	if t.observer == nil || meta.Misdirected {
		return
	}
	t.observer.Observe(lovageyard.BackendServer{Name: p.server, Incarnation: p.incarnation, Address: p.address}, meta.Backpressure, sentAt)
}

// Send makes one attempt and reads the whole response. The error is a *lovageyard.RequestError. If
// ctx is done, the connection is closed, which makes most servers abort the request.
func (t *Transport) Send(ctx context.Context, r Request) (*Response, error) {
	c := t.takeIdle(r.endpoint(), r.Idempotent, r.ID)
	if c == nil {
		return t.sendOnNewConn(ctx, r)
	}
	response, err := t.roundTrip(ctx, c, r)
	if !errors.Is(err, errClosedBeforeResponse) || !r.Idempotent || ctx.Err() != nil {
		return response, err
	}
	// The server closed the connection, either as the request was being sent or after it had run.
	// To the server, another send may be a retry like any other.
	if r.MayResend == nil || !r.MayResend() {
		return response, err
	}
	return t.resend(ctx, r)
}

// resend sends a request again after the server closed the connection. Whatever the result of the
// second send, the first may have run: a refusal applies to the second only.
func (t *Transport) resend(ctx context.Context, r Request) (*Response, error) {
	response, err := t.sendOnNewConn(ctx, r)
	if err == nil && !response.Meta.NotRun {
		return response, nil
	}
	reason := "the backend server closed the connection and did not answer again"
	exited := isRefused(err)
	if err == nil {
		reason = "the backend server closed the connection and refused the request sent again"
		exited = response.Meta.Misdirected
	}
	failure := lovageyard.MayHaveRun(reason, err)
	failure.ConnectionLost, failure.ServerExited = true, exited
	return nil, failure
}

// Connect opens a connection to a server and keeps it for the next request.
func (t *Transport) Connect(ctx context.Context, server lovageyard.BackendServer) error {
	c, err := t.open(ctx, server.Address)
	if err != nil {
		return err
	}
	t.putIdle(c, endpointOf(server), http.Header{})
	return nil
}

// RefusesConnections reports whether a server's port refuses connections. If a connection is
// accepted, it is kept for the next request.
func (t *Transport) RefusesConnections(ctx context.Context, server lovageyard.BackendServer) bool {
	return isRefused(t.Connect(ctx, server))
}

// open opens a connection and counts it.
func (t *Transport) open(ctx context.Context, address string) (*conn, error) {
	began := t.timer.Now()
	c, err := dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c.dialTime = t.timer.Now().Sub(began)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened++
	return c, nil
}

func (t *Transport) sendOnNewConn(ctx context.Context, r Request) (*Response, error) {
	c, err := t.open(ctx, r.ServerAddress)
	if err != nil {
		return nil, unreachableError(err)
	}
	if r.MaySend != nil && !r.MaySend() {
		t.putIdle(c, r.endpoint(), http.Header{})
		return nil, withheldError()
	}
	response, err := t.roundTrip(ctx, c, r)
	if response != nil {
		response.DialTime = c.dialTime
	}
	return response, err
}

// Opened returns the number of connections opened since the start.
func (t *Transport) Opened() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}
