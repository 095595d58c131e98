package backend

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("the connection was given up before its request was written")

// countedConn notes whether bytes were written since a mark, and can be sealed so that
// a writer that is still on its way writes nothing.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write passes the bytes on unless the connection is sealed.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *countedConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.writes++
	return nil
}

// mark returns the number of writes so far.
func (c *countedConn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal lets no further byte out and says whether any left since the mark.
func (c *countedConn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > mark
}
