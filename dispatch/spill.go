package dispatch

import "time"

// Limits of the share of requests that run in other regions.
const (
	// spillRate is how fast the share of a service's requests that run in other regions may
	// change, in shares a second: two seconds' change stays well below the largest shift
	// that the operators allow, with room for chance.
	spillRate = 0.04
	// wishWeight is the weight of one request's wish in the wanted share.
	wishWeight = 0.03
)

// spill paces how much of a service's work leaves the region.
type spill struct {
	share  float64
	wanted float64
	at     time.Time
}

// wish notes whether a request would be answered sooner elsewhere.
func (s *spill) wish(elsewhere bool, now time.Time) {
	sample := 0.0
	if elsewhere {
		sample = 1
	}
	if s.at.IsZero() {
		s.at = now
	}
	s.wanted += wishWeight * (sample - s.wanted)
	step := spillRate * now.Sub(s.at).Seconds()
	s.at = now
	s.share += min(step, max(-step, s.wanted-s.share))
}

// leaves says whether a request at a position, 0 to 1, is in the share that leaves.
func (s *spill) leaves(position float64) bool {
	return position < s.share
}
