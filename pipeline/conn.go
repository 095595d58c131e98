package pipeline

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/meter"
)

// phase tells which part of a request net/http reads next.
type phase int

const (
	// phaseHead: the head of the next request is not completely handed out.
	phaseHead phase = iota
	// phaseHanded: the head is handed out, and the handler has not begun. net/http may start its
	// background read already.
	phaseHanded
	// phaseBody: the handler has begun, and the body is not completely handed out.
	phaseBody
	// phaseServing: the request is completely handed out, and its handler is running. The only reads
	// are background reads, of one byte.
	phaseServing
)

func newConn(accepted net.Conn, p *Pipeline) *conn {
	c := &conn{Conn: accepted, pipeline: p}
	c.changed.L = &c.mu
	return c
}

// conn is a connection that separates the requests that net/http reads from those behind them.
// net/http never calls Read concurrently. Read owns the bytes of held up to its capacity; begin only reads
// those up to its length.
type conn struct {
	net.Conn
	pipeline *Pipeline

	mu    sync.Mutex
	phase phase
	// changed wakes a background read that waits for the handler to begin.
	changed sync.Cond
	// passThrough is set when the boundaries of requests are not known; the connection is then left to
	// net/http.
	passThrough bool
	// closed is set when the client has disconnected or the connection is closed.
	closed bool
	head   headScanner
	// remaining is the number of bytes of the body that are not handed out.
	remaining int64
	// current is the request that net/http has passed to the handler, or nil.
	current *http.Request
	// held are bytes that were read and not handed out; the first parsed of them belong to requests that
	// are run ahead.
	held   []byte
	parsed int
	// blocked is set when the bytes after parsed must be left to net/http.
	blocked bool
	queue   []*request
	// buffered is the size of the response bodies of all requests run ahead.
	buffered int
}

// Read hands out bytes up to the end of the request that net/http reads. During a handler it reads and
// starts further requests instead, until the deadline that net/http sets when the handler has returned.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == phaseHanded || c.phase == phaseServing {
		if len(p) == 1 && !c.passThrough {
			c.mu.Unlock()
			return c.readAhead(p)
		}
		// Not a background read. The request is one that net/http answers itself, or was hijacked.
		c.passThrough = true
	}
	if len(c.held) > 0 {
		defer c.mu.Unlock()
		return c.handOutHeld(p), nil
	}
	limited := p
	if !c.passThrough && c.phase == phaseBody && c.remaining > 0 {
		limited = p[:min(int64(len(p)), c.remaining)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(limited)
	c.mu.Lock()
	defer c.mu.Unlock()
	handed := c.advance(p[:n])
	if handed < n {
		c.held = append(make([]byte, 0, firstHeldBytes), p[handed:n]...)
	}
	if err != nil {
		c.disconnect(err)
	}
	return handed, err
}

// readAhead performs a background read. It returns when the read fails, when the buffer is full, or with
// the next byte if the handler has returned.
func (c *conn) readAhead(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.passThrough || c.phase == phaseHead || c.phase == phaseBody {
			c.mu.Unlock()
			return c.Read(p)
		}
		c.lookAhead()
		if len(c.held) >= maxHeldBytes && c.phase == phaseHanded && !c.closed {
			// The first of these bytes must not be handed out before lookAhead has seen it.
			c.changed.Wait()
			c.mu.Unlock()
			continue
		}
		if len(c.held) >= maxHeldBytes {
			defer c.mu.Unlock()
			// The head that begins with this byte can no longer be parsed.
			c.blocked = c.blocked || c.parsed == 0
			return c.handOutHeld(p), nil
		}
		// A client that does not pipeline costs no buffer: the first byte is read into p.
		into := p
		if len(c.held) > 0 {
			c.held = slices.Grow(c.held, 1)
			into = c.held[len(c.held):min(cap(c.held), maxHeldBytes)]
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(into)
		c.mu.Lock()
		if n > 0 && len(c.held) == 0 {
			c.held = append(make([]byte, 0, firstHeldBytes), p[:n]...)
		} else {
			c.held = c.held[:len(c.held)+n]
		}
		if err != nil {
			c.disconnect(err)
			c.mu.Unlock()
			return 0, err
		}
		c.mu.Unlock()
	}
}

// handOutHeld hands out held bytes. The caller holds c.mu.
func (c *conn) handOutHeld(p []byte) int {
	n := copy(p, c.held)
	if !c.passThrough {
		n = c.advance(p[:n])
	}
	c.held = c.held[n:]
	c.parsed = max(0, c.parsed-n)
	if len(c.held) == 0 {
		c.held = nil
	}
	return n
}

// advance records that net/http reads p, and returns the number of bytes that it may have: those up to
// the end of a head or body. The caller holds c.mu.
func (c *conn) advance(p []byte) int {
	if c.passThrough || len(p) == 0 {
		return len(p)
	}
	switch {
	case c.phase == phaseHead:
		end, complete := c.head.scan(p)
		if complete {
			c.phase = phaseHanded
			c.head = headScanner{}
		}
		return end
	case c.phase == phaseBody:
		n := min(int64(len(p)), c.remaining)
		c.remaining -= n
		if c.remaining == 0 {
			c.endBody()
		}
		return int(n)
	default:
		// A background read whose byte is the first of the next head.
		end, _ := c.head.scan(p)
		return end
	}
}

// endBody records that the body is completely handed out. The caller holds c.mu.
func (c *conn) endBody() {
	c.phase = phaseHead
	if c.current != nil {
		c.phase = phaseServing
	}
}

// Write writes a response of net/http.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == phaseHanded {
		// net/http responds without calling the handler, for example to "OPTIONS *"; whether the request
		// has a body is not known.
		c.passThrough = true
		c.changed.Broadcast()
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.disconnect(err)
		c.mu.Unlock()
	}
	return n, err
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread data.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SetDeadline sets both deadlines. net/http calls it only when a handler takes over the connection.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.passThrough = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Close closes the connection and cancels the requests that are run ahead.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.cancelFrom(0)
	c.mu.Unlock()
	return c.Conn.Close()
}

// disconnect cancels the requests that are run ahead, unless err is a timeout, by which net/http ends
// background reads. The caller holds c.mu.
func (c *conn) disconnect(err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return
	}
	c.closed = true
	c.changed.Broadcast()
	c.cancelFrom(0)
}

// cancelFrom cancels the requests from the i-th of the queue on. The caller holds c.mu.
func (c *conn) cancelFrom(i int) {
	for _, r := range c.queue[i:] {
		r.cancel()
		r.settle()
	}
}

// begin records that net/http has passed a request to the handler. It returns the request that was run
// ahead for it, or nil.
func (c *conn) begin(r *http.Request) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHanded || r.ContentLength < 0 {
		// The end of a chunked body is known only to net/http.
		c.passThrough = true
	}
	c.current = r
	c.remaining = r.ContentLength
	c.phase = phaseServing
	if r.ContentLength != 0 {
		c.phase = phaseBody
	}
	var first *request
	if len(c.queue) > 0 {
		first = c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
	} else {
		c.parsed = 0
		c.blocked = r.Close || !allowsAhead(r)
	}
	c.changed.Broadcast()
	c.lookAhead()
	return first
}

// end records that the handler has returned.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	if c.phase == phaseServing {
		c.phase = phaseHead
	}
}

// endAhead records that the response of a request run ahead is complete and closes the connection, so
// that the requests behind it count as not read.
func (c *conn) endAhead(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A request that net/http has reached already is not found; then all others are behind it.
	c.blocked = true
	c.cancelFrom(slices.Index(c.queue, r) + 1)
}

// mayClose implements MayClose.
func (c *conn) mayClose(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A request that net/http has reached is not in the queue; then all others are behind it.
	own := slices.IndexFunc(c.queue, func(q *request) bool { return q.request == r })
	if own+1 < len(c.queue) {
		return false
	}
	c.blocked = true
	return true
}

// lookAhead starts the complete requests among the held bytes. The caller holds c.mu.
func (c *conn) lookAhead() {
	for c.phase == phaseServing && !c.blocked && !c.passThrough && !c.closed && !c.pipeline.stopping.Load() &&
		len(c.queue) < maxAhead && c.buffered < maxBufferedBytes && c.parsed < len(c.held) {
		var head headScanner
		end, complete := head.scan(c.held[c.parsed:])
		if !complete {
			return
		}
		var r *http.Request
		if end <= c.pipeline.maxHeadBytes {
			r = parse(c.held[c.parsed : c.parsed+end])
		}
		if r == nil {
			c.blocked = true
			return
		}
		if !c.pipeline.admit() {
			return
		}
		c.parsed += end
		c.blocked = r.Close
		c.start(r)
	}
}

// start passes an admitted request to the handler. The caller holds c.mu.
func (c *conn) start(r *http.Request) {
	// Requests of a connection have the same values in their contexts.
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.current.Context()))
	r = r.WithContext(ctx)
	r.RemoteAddr = c.current.RemoteAddr
	r.TLS = c.current.TLS
	ahead := newRequest(c, r, cancel)
	c.queue = append(c.queue, ahead)
	p := c.pipeline
	p.Metrics.Count(meter.RequestsAhead)
	if p.Logger.IsLevelEnabled(logrus.DebugLevel) {
		p.Logger.WithFields(logrus.Fields{
			"caller": r.RemoteAddr,
			"method": r.Method,
			"ahead":  len(c.queue),
		}).Debug("running a pipelined request ahead")
	}
	go ahead.run()
}

// reserve adds n bytes to the buffered response bodies, unless that exceeds the limit.
func (c *conn) reserve(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buffered+n > maxBufferedBytes {
		return false
	}
	c.buffered += n
	return true
}

// release subtracts n bytes from the buffered response bodies.
func (c *conn) release(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered -= n
}
