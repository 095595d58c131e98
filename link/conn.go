package link

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lovageyard.example/lovageyard/transfer"
)

// Sizes of a connection's buffers; most requests and responses are below 2 KiB.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// maxRequests is the number of requests after which a connection is closed, which bounds the memory for their IDs.
const maxRequests = 256

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// pastTime is a deadline that makes pending reads and writes fail immediately.
var pastTime = time.Unix(1, 0)

// conn is one connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	// reader reads through head.
	reader *bufio.Reader
	head   *headLimiter
	writer *bufio.Writer
	// writes counts the writes that were started, successful or not.
	writes atomic.Int64
	// dialTime is how long the connection took to open.
	dialTime time.Duration
	// idleSince is when the last response ended, and maxIdle how long after that the connection may
	// be reused.
	idleSince time.Time
	maxIdle   time.Duration
	// requests are the hashes of the IDs of all requests that the connection has carried. It carries no two with
	// the same ID: a second, late answer to the one would be taken for the answer to the other.
	requests []uint64
	// begun means that the first byte of an answer to the current request has come.
	begun bool
	// skipped is the number of answers to other requests than the current one that have come.
	skipped int
}

// Write counts the write before any byte can be sent.
func (c *conn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// NewDialer returns a dialer of connections with TCP keep-alive that fail if the other end does not
// acknowledge data within userTimeout.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// dial opens a connection to a server.
func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	raw, err := NewDialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	socket := transfer.NewConn(raw)
	c := &conn{Conn: socket, head: &headLimiter{reader: socket}, maxIdle: defaultMaxIdle}
	c.reader = bufio.NewReaderSize(c.head, readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// reset closes the connection and discards what was written and not yet delivered. After a normal close, a partition
// would hold a request that was given up, and the server would get it when the partition ends.
func (c *conn) reset() {
	Reset(c.Conn)
}

// Reset closes a connection and makes the other end notice that it was broken off.
func Reset(c net.Conn) {
	discardOnClose(c)
	// It fails only if the connection is closed already.
	_ = c.Close()
}

// discardOnClose makes Close reset a TCP connection.
func discardOnClose(c net.Conn) {
	if socket, ok := Socket(c).(*net.TCPConn); ok {
		// It fails only if the connection is closed already.
		_ = socket.SetLinger(0)
	}
}

// DialDiscarding is transfer.DialContext of NewDialer. Closing the connection discards what was not yet delivered, so that the
// other end does not get a request that was given up.
func DialDiscarding(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := transfer.DialContext(NewDialer(timeout))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		discardOnClose(c)
		return c, nil
	}
}

// recordRequest records a request that the connection is about to carry.
func (c *conn) recordRequest(id string) {
	c.requests = append(c.requests, maphash.String(idSeed, id))
	c.begun = false
}

// mayCarry reports whether an answer to a request with an ID could be told from the answers to the requests that the
// connection has carried.
func (c *conn) mayCarry(id string) bool {
	return len(c.requests) == 0 || id != "" && !slices.Contains(c.requests, maphash.String(idSeed, id))
}

// identifies reports whether an answer with an ID belongs to the current request, whose ID is want. An answer without
// an ID can only belong to the first request.
func (c *conn) identifies(got, want string) bool {
	return got == want || got == "" && len(c.requests) == 1
}

// mayCarryMore reports whether the connection may carry a further request after an answer with an ID.
func (c *conn) mayCarryMore(id string) bool {
	return id != "" && len(c.requests) < maxRequests
}

// isIdle reports whether an idle connection is still open and has no unexpected bytes to read.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := Socket(c.Conn).(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = failure == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// markIdle records the start of the idle time, and its limit if the response headers contain one.
func (c *conn) markIdle(h http.Header, now time.Time) {
	c.idleSince = now
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.maxIdle = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// isReusable reports whether the connection may carry another request after its idle time.
func (c *conn) isReusable(now time.Time, limit time.Duration) bool {
	return now.Sub(c.idleSince) < min(c.maxIdle, limit)
}
