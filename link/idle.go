package link

import (
	"net/http"
	"time"
)

// take returns an idle connection to a server, or nil.
func (l *Transport) take(p peer, idempotent bool) *conn {
	limit := longestIdle
	if !idempotent {
		limit = unsafeIdle
	}
	now := l.timer.Now()
	for {
		c := l.pop(p)
		if c == nil {
			return nil
		}
		if c.reusable(now, limit) && c.isQuiet() {
			return c
		}
		c.Close()
	}
}

func (l *Transport) pop(p peer) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.idle[p]
	if len(list) == 0 {
		return nil
	}
	// The one used last has been idle for the shortest time.
	c := list[len(list)-1]
	l.idle[p] = list[:len(list)-1]
	return c
}

// give keeps a connection whose answer has ended for reuse.
func (l *Transport) give(c *conn, p peer, header http.Header) {
	c.keep(header, l.timer.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return
	}
	l.idle[p] = append(l.idle[p], c)
}

// Forget closes the idle connections to a server.
func (l *Transport) Forget(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, list := range l.idle {
		if p.server != server {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(l.idle, p)
	}
}

// CloseExpired closes connections that have been idle for too long to be reused.
func (l *Transport) CloseExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, list := range l.idle {
		kept := list[:0]
		for _, c := range list {
			if c.reusable(now, longestIdle) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		l.idle[p] = kept
		if len(kept) == 0 {
			delete(l.idle, p)
		}
	}
}

// Close closes the idle connections; those in use close when their answer ends.
func (l *Transport) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, list := range l.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(l.idle)
}
