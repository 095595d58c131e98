package dispatch

import (
	"math"
	"time"
)

// The machines of some servers are shared with other workloads, which slow them down for short periods. Such
// servers report the current execution time on their machine in multiples of the usual one.

const (
	// paceDecay is the time constant with which a reported pace gives way to the usual one. It is the usual
	// length of a slow period.
	paceDecay = 600 * time.Millisecond
	// Bounds of a reported pace.
	minPace, maxPace = 0.5, 12
	// slowPace is the pace from which on a machine counts as slow in metrics.
	slowPace = 1.5
)

// pace is the latest pace that a server has reported.
type pace struct {
	factor     float64
	reportedAt time.Time
}

// update applies a report. Servers on machines that are not shared report 0.
func (p *pace) update(factor float64, now time.Time) {
	if factor <= 0 {
		return
	}
	p.factor = min(maxPace, max(minPace, factor))
	p.reportedAt = now
}

// isKnown reports whether the server has ever reported a pace.
func (p *pace) isKnown() bool {
	return !p.reportedAt.IsZero()
}

// at returns the expected execution time at a time, in multiples of the usual one.
func (p *pace) at(now time.Time) float64 {
	if !p.isKnown() {
		return 1
	}
	return 1 + (p.factor-1)*math.Exp(-float64(now.Sub(p.reportedAt))/float64(paceDecay))
}
