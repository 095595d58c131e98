package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/meter"
)

// Limits of the look-ahead on one connection.
const (
	// maxAhead is the number of requests that are run ahead.
	maxAhead = 8
	// maxBufferedBytes limits the response bodies of requests run ahead. Handlers that write more wait
	// until the server reaches their request.
	maxBufferedBytes = 1 << 20
	// maxBufferedWrite limits a single write that is buffered. The handler of a larger one holds the body
	// anyway, and its memory is accounted for until the write returns.
	maxBufferedWrite = 16 << 10
	// maxHeldBytes limits the bytes read from the connection that the server has not asked for.
	maxHeldBytes = 16 << 10
	// firstHeldBytes is the initial capacity of the buffer for them, the size of the server's own buffer.
	firstHeldBytes = 4 << 10
)

// Settings are the dependencies of a Pipeline; all are required.
type Settings struct {
	Handler http.Handler
	Logger  *logrus.Logger
	Metrics *meter.Set
}

// Pipeline runs pipelined requests of an http.Server ahead.
type Pipeline struct {
	Settings
	// maxHeadBytes is the size up to which net/http accepts the head of a request.
	maxHeadBytes int
	// stopping is set when the server leaves; no further requests are run ahead. It is set with mu held,
	// so that nothing is added to the groups afterwards.
	stopping atomic.Bool
	mu       sync.Mutex
	// running counts the handlers of requests run ahead, and undelivered those requests whose responses are
	// neither written nor cancelled.
	running     sync.WaitGroup
	undelivered sync.WaitGroup
}

// New returns a Pipeline for one server.
func New(s Settings) *Pipeline {
	return &Pipeline{Settings: s}
}

// connKey is the context key of the wrapped connection.
type connKey struct{}

// Attach sets the server's handler and extends its connection context. The server has to be served on a listener
// returned by Listener.
func (p *Pipeline) Attach(s *http.Server) {
	p.maxHeadBytes = s.MaxHeaderBytes
	if p.maxHeadBytes <= 0 {
		p.maxHeadBytes = http.DefaultMaxHeaderBytes
	}
	s.Handler = p
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.RegisterOnShutdown(p.Stop)
}

// Listener returns a listener whose connections can be read ahead.
func (p *Pipeline) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, pipeline: p}
}

// Stop makes connections run no further requests ahead. It is called before responses close their connections.
func (p *Pipeline) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping.Store(true)
}

// admit counts a request that is to be run ahead, unless the server leaves.
func (p *Pipeline) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping.Load() {
		return false
	}
	p.running.Add(1)
	p.undelivered.Add(1)
	return true
}

// Drain stops and waits until the responses to all requests run ahead are written, or until ctx ends. It is called
// before Shutdown of the server, which closes each connection after the response in progress.
func (p *Pipeline) Drain(ctx context.Context) {
	p.Stop()
	await(ctx, &p.undelivered)
}

// Close waits for the handlers of requests run ahead, or until ctx ends. The server has to be closed before.
func (p *Pipeline) Close(ctx context.Context) {
	p.Stop()
	await(ctx, &p.running)
}

// await waits for a group, or until ctx ends.
func await(ctx context.Context, group *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// MayClose reports whether the response to a request may close its connection: not if requests behind it are run
// already, as their responses would be lost. If it may, none behind it is started from now on.
func MayClose(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || c.mayClose(r)
}

// ServeHTTP passes a request to the handler, or writes the response if the request was run ahead.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		p.Handler.ServeHTTP(w, r)
		return
	}
	ahead := c.begin(r)
	defer c.end()
	if ahead == nil {
		p.Handler.ServeHTTP(w, r)
		return
	}
	ahead.deliver(w, r)
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted, l.pipeline), nil
}
