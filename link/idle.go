package link

import (
	"net/http"
	"slices"
	"time"
)

// takeIdle removes and returns an idle connection to an endpoint, or nil if there is none that may
// be reused for a request with an ID.
func (t *Transport) takeIdle(p endpoint, idempotent bool, id string) *conn {
	limit := maxIdleTime
	if !idempotent {
		limit = nonIdempotentMaxIdle
	}
	now := t.timer.Now()
	t.recordUse(p, limit, now)
	for {
		c := t.popIdle(p, id)
		if c == nil {
			return nil
		}
		if c.isReusable(now, limit) && c.isIdle() {
			return c
		}
		c.Close()
	}
}

// popIdle removes the connection that was used last, as it has been idle for the shortest time, among those
// that may carry a request with the ID.
func (t *Transport) popIdle(p endpoint, id string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[p]
	for n := len(list) - 1; n >= 0; n-- {
		if c := list[n]; c.mayCarry(id) {
			t.idle[p] = slices.Delete(list, n, n+1)
			return c
		}
	}
	return nil
}

// putIdle keeps a connection for reuse after its response has ended.
func (t *Transport) putIdle(c *conn, p endpoint, header http.Header) {
	c.markIdle(header, t.timer.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.Close()
		return
	}
	t.idle[p] = append(t.idle[p], c)
}

// Forget closes the idle connections to a server, of all its incarnations and addresses.
func (t *Transport) Forget(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, list := range t.idle {
		if p.server != server {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(t.idle, p)
	}
}

// CloseExpired closes the connections that have been idle for too long to be reused, that the server
// has closed, or on which bytes have arrived that belong to no request. It begins to replace those to
// distant servers that are used regularly. It should be called every second.
func (t *Transport) CloseExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	for p, c := range t.expiring(now) {
		t.renewals.Go(func() { t.renew(p, c) })
	}
	for p, list := range t.idle {
		kept := list[:0]
		for _, c := range list {
			if c.isReusable(now, maxIdleTime) && c.isIdle() {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		t.idle[p] = kept
		if len(kept) == 0 {
			delete(t.idle, p)
		}
	}
}

// Close closes the idle connections; those in use are closed when their response ends.
func (t *Transport) Close() {
	t.cancel()
	t.closeIdle()
	t.renewals.Wait()
}

func (t *Transport) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, list := range t.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(t.idle)
}
