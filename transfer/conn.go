package transfer

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// pastTime is a deadline that makes pending writes fail immediately.
var pastTime = time.Unix(1, 0)

// Conn is a network connection whose end and failure a reader can tell apart while another goroutine writes. The
// kernel reports a failure, such as a reset, to one call only: after a Write has got it, reads from the socket
// return io.EOF as if the other end had closed the connection.
type Conn struct {
	net.Conn

	// mu is held during a write.
	mu sync.Mutex
	// failure is the failure of the connection that a write has got, or nil.
	failure error
}

// NewConn returns a Conn on a connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// DialContext returns a dial function, as http.Transport has one, whose connections are Conns.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Read returns io.EOF only if the other end has closed its side of the connection. Writes fail after that.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure ends the current write and returns the failure of the connection that writes have got, or nil.
func (c *Conn) writeFailure() error {
	// It fails only if the connection is closed already.
	_ = c.Conn.SetWriteDeadline(pastTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write writes to the connection and notes its failure.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	var code syscall.Errno
	// EPIPE is no failure of its own: the other end had closed its side before it reset the connection, or the
	// failure was reported before.
	if errors.As(err, &code) && code != syscall.EPIPE && c.failure == nil {
		c.failure = err
	}
	return n, err
}
