package footprint

import (
	"math"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a request is small.
	SmallBytes = 16 << 10
	// smallShare is the share of the budget that only small requests may use.
	smallShare = 0.2
	// serverShare is the share of the budget that may be in flight to one server. One server that stops reading
	// then leaves most of the budget to requests for the others.
	serverShare = 0.25
	// releaseWindow is the time constant of the mean rate at which bytes are released.
	releaseWindow = time.Second
	// Bounds of the retry delay of refused requests. The maximum applies while nothing is released, when the rate
	// predicts nothing.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Pool is a budget of bytes. It is safe for concurrent use.
type Pool struct {
	limits limits
	// serverLimits apply to the bytes in flight to each server.
	serverLimits limits

	mu      sync.Mutex
	total   usage
	servers map[string]usage
	// waiters are the reservations that wait for bytes, in order.
	waiters []*waiter
	// released is the number of bytes released recently, as of releasedAt.
	released   float64
	releasedAt time.Time
}

// Stats describes the use of a Pool.
type Stats struct {
	// Limit is the budget, Used the reserved bytes, and Large the part of Used that large requests have.
	Limit, Used, Large int64
	// Waiting is the number of reservations that wait for bytes.
	Waiting int
}

// NewPool returns a Pool with a budget in bytes.
func NewPool(budget int64) *Pool {
	return &Pool{
		limits:       newLimits(budget),
		serverLimits: newLimits(int64(serverShare * float64(budget))),
		servers:      make(map[string]usage),
	}
}

// Reserve returns a reservation of a number of bytes, or nil if they do not fit.
func (p *Pool) Reserve(bytes int64, now time.Time) *Reservation {
	r := &Reservation{pool: p}
	if !r.Resize(bytes, now) {
		return nil
	}
	return r
}

// RetryAfter returns the time after which a number of bytes is likely to fit, by the rate at which bytes were
// released recently. random is from 0 to 1 and spreads the retries of clients that are refused together.
func (p *Pool) RetryAfter(bytes int64, now time.Time, random float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := p.limits.missing(p.total, bytes)
	if missing == 0 {
		return minRetryAfter
	}
	expected := maxRetryAfter.Seconds()
	if rate := p.recentlyReleased(now) / releaseWindow.Seconds(); rate > 0 {
		expected = min(expected, float64(missing)/rate)
	}
	spread := time.Duration((0.5 + random) * expected * float64(time.Second))
	return max(minRetryAfter, min(maxRetryAfter, spread))
}

// Stats returns the current use.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.limits.all, Used: p.total.all, Large: p.total.large, Waiting: len(p.waiters)}
}

// recentlyReleased returns the bytes released recently, of which older ones count less.
func (p *Pool) recentlyReleased(now time.Time) float64 {
	return p.released * math.Exp(-float64(now.Sub(p.releasedAt))/float64(releaseWindow))
}

// apply replaces the bytes of a reservation, and admits waiting ones if bytes are released.
func (p *Pool) apply(r *Reservation, bytes int64, now time.Time) {
	freed := r.bytes - bytes
	p.total = p.total.replace(r.bytes, bytes)
	r.bytes = bytes
	if freed > 0 {
		p.released = p.recentlyReleased(now) + float64(freed)
		p.releasedAt = now
		p.admitWaiters(now)
	}
}

// limits bound the bytes of all requests, and those of large ones.
type limits struct {
	all, large int64
}

func newLimits(bytes int64) limits {
	return limits{all: bytes, large: int64((1 - smallShare) * float64(bytes))}
}

// admits reports whether a usage is within the limits as far as a request of a size is concerned.
func (l limits) admits(u usage, bytes int64) bool {
	return u.all <= l.all && (!isLarge(bytes) || u.large <= l.large)
}

// missing returns how many bytes have to be released until a request of a size fits.
func (l limits) missing(u usage, bytes int64) int64 {
	missing := u.all + bytes - l.all
	if isLarge(bytes) {
		missing = max(missing, u.large+bytes-l.large)
	}
	return max(0, missing)
}

// usage is the number of bytes of all requests, and of large ones.
type usage struct {
	all, large int64
}

// replace returns the usage after a request's bytes have changed.
func (u usage) replace(from, to int64) usage {
	u.all += to - from
	if isLarge(from) {
		u.large -= from
	}
	if isLarge(to) {
		u.large += to
	}
	return u
}

func isLarge(bytes int64) bool {
	return bytes > SmallBytes
}
