package move

import (
	"math"
	"sync"
	"sync/atomic"
)

// burstFactor times the square root of an interval's moved work is what a Gate may admit
// at once: enough to ride out the chance in arrivals, little against the cap.
const burstFactor = 0.5

// fewest is the number of moved requests in an interval below which the gate halves its
// rate, as a burst of one request would otherwise use up the cap.
const fewest = 2

// Limiter admits requests to the sites that their buckets are moving to. For every run
// of requests it admits at most the cap's share, counted over the requests themselves,
// or one request if the cap's share is less than one.
type Limiter struct {
	arrivals atomic.Uint64

	mu       sync.Mutex
	rate     float64
	burst    float64
	tokens   float64
	seen     uint64
	asked    uint64
	admitted uint64
}

// Counts counts the requests of the moving part since the last Reset.
type Counts struct {
	Requested uint64
	Admitted  uint64
}

// Ratio returns the share of the moving part's requests that were admitted; with no request, 1.
func (z Counts) Ratio() float64 {
	if z.Requested == 0 {
		return 1
	}
	return float64(z.Admitted) / float64(z.Requested)
}

// NewLimiter returns a gate for a cap, when an interval is expected to bring so many requests.
func NewLimiter(limit, perInterval float64) *Limiter {
	g := &Limiter{}
	g.SetCap(limit, perInterval)
	return g
}

// SetCap changes the cap and the number of requests expected in an interval. The rate and
// the burst together stay within the cap for every window with so many requests.
func (g *Limiter) SetCap(limit, perInterval float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit >= 1 {
		g.rate = 1
		g.burst = math.Inf(1)
		g.tokens = math.Inf(1)
		return
	}
	allowed := limit * perInterval
	g.burst = math.Max(1, burstFactor*math.Sqrt(allowed))
	if allowed < fewest {
		g.rate = limit / 2
	} else {
		g.rate = limit - g.burst/perInterval
	}
	if math.IsInf(g.tokens, 1) {
		g.tokens = 0
	}
	g.tokens = math.Min(g.tokens, g.burst)
}

// Debit debits moved work that did not ask the gate, so that the requests that do ask
// make up for it.
func (g *Limiter) Debit(requests float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens -= requests
}

// CountArrival counts one request of the class, wherever it goes.
func (g *Limiter) CountArrival() {
	g.arrivals.Add(1)
}

// Arrivals returns the number of requests counted so far.
func (g *Limiter) Arrivals() uint64 {
	return g.arrivals.Load()
}

// Allow says whether a request of the moving part may go to the new site.
func (g *Limiter) Allow() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked++
	if !g.takeToken() {
		return false
	}
	g.admitted++
	return true
}

// AllowFailover says whether a request that a failure forces off its site may go to another.
func (g *Limiter) AllowFailover() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.takeToken()
}

func (g *Limiter) takeToken() bool {
	arrivals := g.arrivals.Load()
	g.tokens = math.Min(g.burst, g.tokens+float64(arrivals-g.seen)*g.rate)
	g.seen = arrivals
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// ResetCounts returns the counts of the moving part and starts them anew.
func (g *Limiter) ResetCounts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	z := Counts{Requested: g.asked, Admitted: g.admitted}
	g.asked = 0
	g.admitted = 0
	return z
}
