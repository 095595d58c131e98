package dispatch

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the mean load of a service's servers.
	loadWindow = time.Second
	// loadHalfLife is the half-life of a mean load without new reports.
	loadHalfLife = time.Second
	// minReportGap is the least weight of a report in the mean, in time since the last one, so that
	// reports that arrive together all count.
	minReportGap = 20 * time.Millisecond
)

// meanLoad is the mean load that other instances put on the servers of a service, by the recent
// reports of all of them.
type meanLoad struct {
	// perSlot is the load in multiples of a server's slots at updatedAt.
	perSlot   float64
	updatedAt time.Time
}

// update applies one report.
func (m *meanLoad) update(perSlot float64, now time.Time) {
	weight := 1.0
	if !m.updatedAt.IsZero() {
		gap := max(minReportGap, now.Sub(m.updatedAt))
		weight = 1 - math.Exp(-float64(gap)/float64(loadWindow))
	}
	m.perSlot += weight * (perSlot - m.perSlot)
	m.updatedAt = now
}

// at returns the mean load per slot at a time. It fades without reports, as there are none while all
// servers are considered full.
func (m *meanLoad) at(now time.Time) float64 {
	return m.perSlot * halfLifeFactor(now.Sub(m.updatedAt), loadHalfLife)
}

// halfLifeFactor returns the weight of an observation of a given age.
func halfLifeFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
