package link

import (
	"math"
	"net/http"
	"time"
)

// A connection to a distant server takes several times as long to open as a request takes to get
// there. Servers close connections that are idle, so that an instance which sends a server a request
// every few seconds would open a connection for most of them, and callers would wait for it. A
// connection that is about to expire is therefore replaced if the server is used regularly.

const (
	// minDialTime is the dial time from which on connections are replaced. Within a region a new
	// connection costs a caller little.
	minDialTime = 10 * time.Millisecond
	// useWindow is the time constant of the number of recent requests to a server, and minRecentUses
	// the number from which on its connections are replaced.
	useWindow     = 20 * time.Second
	minRecentUses = 1.5
	// renewAhead is how long before its end a connection is replaced. It covers the time between two
	// calls of CloseExpired, and a dial.
	renewAhead = 1500 * time.Millisecond
	// maxRenewals limits the connections that one call of CloseExpired opens.
	maxRenewals = 32
)

// usage records the recent requests to an endpoint.
type usage struct {
	// uses is the number of recent requests at lastUse. Each counts e^-x after x windows.
	uses    float64
	lastUse time.Time
	// maxIdle is how long a connection may have been idle for a request like the last one.
	maxIdle time.Duration
}

func (u *usage) record(maxIdle time.Duration, now time.Time) {
	u.uses = u.recent(now) + 1
	u.lastUse = now
	u.maxIdle = maxIdle
}

// recent returns the number of recent requests.
func (u *usage) recent(now time.Time) float64 {
	return u.uses * math.Exp(-float64(now.Sub(u.lastUse))/float64(useWindow))
}

// recordUse records a request to an endpoint.
func (t *Transport) recordUse(p endpoint, maxIdle time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.usage[p]
	if known == nil {
		known = &usage{}
		t.usage[p] = known
	}
	known.record(maxIdle, now)
}

// expiring returns the connections to be replaced, by endpoint, and forgets endpoints that are no
// longer used. It must be called with the lock held.
func (t *Transport) expiring(now time.Time) map[endpoint]*conn {
	found := make(map[endpoint]*conn)
	for p, u := range t.usage {
		if u.recent(now) < minRecentUses {
			if len(t.idle[p]) == 0 {
				delete(t.usage, p)
			}
			continue
		}
		list := t.idle[p]
		if len(list) == 0 || len(found) == maxRenewals {
			continue
		}
		if last := list[len(list)-1]; last.isExpiring(u.maxIdle, now) {
			found[p] = last
		}
	}
	return found
}

// isExpiring reports whether the connection should be replaced, given how long it may be idle.
func (c *conn) isExpiring(limit time.Duration, now time.Time) bool {
	return c.dialTime >= minDialTime && c.isReusable(now, limit) && !c.isReusable(now.Add(renewAhead), limit) && c.isIdle()
}

// renew opens a connection to an endpoint that replaces another one. A failure has no effect: the
// next request opens a connection of its own.
func (t *Transport) renew(p endpoint, expiring *conn) {
	c, err := t.open(t.context, p.address)
	if err != nil {
		return
	}
	c.maxIdle = expiring.maxIdle
	t.putIdle(c, p, http.Header{})
}
