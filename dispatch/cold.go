package dispatch

import (
	"math"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
)

// coldRateWindow is the window in which requests to a cold server are counted: the one second that
// the bound refers to, and a margin for differences in network delay.
const coldRateWindow = 1150 * time.Millisecond

// coldBoundShare is the part of a cold server's bound that is used, as instances may differ in
// which others they know.
const coldBoundShare = 0.85

// ColdBound limits the rate of requests that all instances together may send to a cold server.
type ColdBound struct {
	// Excess multiplies the rate that the server is configured for; Slack is added to the product,
	// in requests per second.
	Excess float64
	Slack  float64
}

// coldLimiter counts the requests that this instance has sent to a cold server.
type coldLimiter struct {
	sends []time.Time
}

// allows reports whether another request keeps within the limit for one window.
func (g *coldLimiter) allows(limit int, now time.Time) bool {
	g.sends = slices.DeleteFunc(g.sends, func(at time.Time) bool { return now.Sub(at) >= coldRateWindow })
	return len(g.sends) < limit
}

func (g *coldLimiter) record(now time.Time) {
	g.sends = append(g.sends, now)
}

// recordColdSend counts a request against the bound if the server is cold, and reports whether it is.
func (s *server) recordColdSend(now time.Time) bool {
	if !now.Before(s.ColdUntil) {
		return false
	}
	s.cold.record(now)
	return true
}

// coldQuota returns how many requests an instance may send to a cold server in one window. If the
// bound allows at least one request for every instance, it is divided evenly; otherwise only the
// instances that rank highest for the server may send one.
func coldQuota(bound ColdBound, service lovageyard.Service, server, self string, instances []string) int {
	total := int(math.Floor((service.ColdRate*bound.Excess + bound.Slack) * coldBoundShare))
	count := max(1, len(instances))
	if total >= count {
		return total / count
	}
	if slices.Contains(instance.Rendezvous(instances, server, total), self) {
		return 1
	}
	return 0
}
