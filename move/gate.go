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

// Gate admits requests to the sites that their buckets are moving to. For every run
// of requests it admits at most the cap's share, counted over the requests themselves,
// or one request if the cap's share is less than one.
type Gate struct {
	arrivals atomic.Uint64

	mu       sync.Mutex
	rate     float64
	burst    float64
	tokens   float64
	seen     uint64
	asked    uint64
	admitted uint64
}

// Zone counts the requests of the moving part since the last Reset.
type Zone struct {
	Asked    uint64
	Admitted uint64
}

// Ratio returns the share of the moving part's requests that were admitted; with no request, 1.
func (z Zone) Ratio() float64 {
	if z.Asked == 0 {
		return 1
	}
	return float64(z.Admitted) / float64(z.Asked)
}

// NewGate returns a gate for a cap, when an interval is expected to bring so many requests.
func NewGate(limit, perInterval float64) *Gate {
	g := &Gate{}
	g.Set(limit, perInterval)
	return g
}

// Set changes the cap and the number of requests expected in an interval. The rate and
// the burst together stay within the cap for every window with so many requests.
func (g *Gate) Set(limit, perInterval float64) {
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

// Spend debits moved work that did not ask the gate, so that the requests that do ask
// make up for it.
func (g *Gate) Spend(requests float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens -= requests
}

// Arrive counts one request of the class, wherever it goes.
func (g *Gate) Arrive() {
	g.arrivals.Add(1)
}

// Arrivals returns the number of requests counted so far.
func (g *Gate) Arrivals() uint64 {
	return g.arrivals.Load()
}

// Take says whether a request of the moving part may go to the new site.
func (g *Gate) Take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked++
	if !g.take() {
		return false
	}
	g.admitted++
	return true
}

// TakeForced says whether a request that a failure forces off its site may go to another.
func (g *Gate) TakeForced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.take()
}

func (g *Gate) take() bool {
	arrivals := g.arrivals.Load()
	g.tokens = math.Min(g.burst, g.tokens+float64(arrivals-g.seen)*g.rate)
	g.seen = arrivals
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}

// Reset returns the counts of the moving part and starts them anew.
func (g *Gate) Reset() Zone {
	g.mu.Lock()
	defer g.mu.Unlock()
	z := Zone{Asked: g.asked, Admitted: g.admitted}
	g.asked = 0
	g.admitted = 0
	return z
}
