package move

import (
	"math"
	"sync"
	"sync/atomic"
)

// burstFactor times the square root of the number of moves that are allowed in an interval is the burst
// of a Limiter. That covers the random variation of arrivals and is small compared with the cap.
const burstFactor = 0.5

// minMovesPerInterval is the number of allowed moves in an interval below which the limiter halves its
// rate, because the full rate and a burst of one request together would exceed the cap.
const minMovesPerInterval = 2

// Limiter admits requests to the sites that their buckets are moving to. It is a token bucket that is
// refilled by arriving requests instead of time: of an interval's requests it admits at most the
// share that the cap allows, or one request if that share is less than one. It is safe for
// concurrent use.
type Limiter struct {
	arrivals atomic.Uint64

	mu              sync.Mutex
	rate            float64
	burst           float64
	tokens          float64
	countedArrivals uint64
	requested       uint64
	admitted        uint64
}

// Counts counts the requests of moving cells since the last call of ResetCounts.
type Counts struct {
	Requested uint64
	Admitted  uint64
}

// Ratio returns the fraction of the requests that were admitted, or 1 if there were none.
func (c Counts) Ratio() float64 {
	if c.Requested == 0 {
		return 1
	}
	return float64(c.Admitted) / float64(c.Requested)
}

// NewLimiter returns a limiter for a cap, 0 to 1, and the expected number of requests in an interval.
func NewLimiter(limit, perInterval float64) *Limiter {
	l := &Limiter{}
	l.SetCap(limit, perInterval)
	return l
}

// SetCap changes the cap and the expected number of requests in an interval. Rate and burst together
// stay within the cap in every window of that many requests.
func (l *Limiter) SetCap(limit, perInterval float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit >= 1 {
		l.rate = 1
		l.burst = math.Inf(1)
		l.tokens = math.Inf(1)
		return
	}
	allowed := limit * perInterval
	l.burst = math.Max(1, burstFactor*math.Sqrt(allowed))
	if allowed < minMovesPerInterval {
		l.rate = limit / 2
	} else {
		l.rate = limit - l.burst/perInterval
	}
	if math.IsInf(l.tokens, 1) {
		l.tokens = 0
	}
	l.tokens = math.Min(l.tokens, l.burst)
}

// Debit removes tokens for requests that moved without a call of Allow; the balance may become
// negative, so that later calls compensate for them.
func (l *Limiter) Debit(requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens -= requests
}

// CountArrival counts one request of the class, whatever its site; arrivals add tokens.
func (l *Limiter) CountArrival() {
	l.arrivals.Add(1)
}

// Arrivals returns the number of requests counted so far.
func (l *Limiter) Arrivals() uint64 {
	return l.arrivals.Load()
}

// Allow reports whether a request of a moving cell may go to the cell's target.
func (l *Limiter) Allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested++
	if !l.takeToken() {
		return false
	}
	l.admitted++
	return true
}

// AllowFailover reports whether a request whose site has failed may go to another site. It does not
// count for ResetCounts.
func (l *Limiter) AllowFailover() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takeToken()
}

func (l *Limiter) takeToken() bool {
	arrivals := l.arrivals.Load()
	l.tokens = math.Min(l.burst, l.tokens+float64(arrivals-l.countedArrivals)*l.rate)
	l.countedArrivals = arrivals
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// ResetCounts returns the counts of the requests of moving cells and sets them to 0.
func (l *Limiter) ResetCounts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := Counts{Requested: l.requested, Admitted: l.admitted}
	l.requested = 0
	l.admitted = 0
	return counts
}
