package utilisation

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is the Source of the running process. It is safe for concurrent use.
type Process struct {
	bytes atomic.Int64
}

// Usage returns the processor time of the process, in user and in kernel mode, and the bytes counted by its listeners.
func (p *Process) Usage() (Usage, error) {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return Usage{}, errors.Wrap(err, "getrusage")
	}
	return Usage{CPU: time.Duration(used.Utime.Nano() + used.Stime.Nano()), Bytes: p.bytes.Load()}, nil
}

// Listen returns a listener that counts the bytes of the connections that l accepts.
func (p *Process) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, process: p}
}

type listener struct {
	net.Listener
	process *Process
}

// Accept returns the next connection, whose bytes are counted.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, bytes: &l.process.bytes}, nil
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// CloseWrite closes the writing side. net/http does so before it closes a connection whose request it has not read
// completely: otherwise the client may lose the response to a connection reset.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
