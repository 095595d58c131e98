package dispatch

import "time"

// Limits of the share of requests that run in other regions.
const (
	// spillRate is how fast the share of a service's requests that run in other regions may
	// change, in shares a second. Two seconds' change is 0.06 of the 0.15 that operators allow;
	// chance adds up to as much (0.131 at most in 16 plays of the model; 0.193 with 0.04).
	spillRate = 0.03
	// wishWeight is the weight of one request's wish in the wanted share.
	wishWeight = 0.03
)

// usualLoad is the part of all slots that is taken to be busy when an instance starts and
// knows no better.
const usualLoad = 0.7

// spill paces how much of a service's work leaves the region.
type spill struct {
	share  float64
	wanted float64
	at     time.Time
}

// firstSpill returns the share to begin with: what a region that asks for its part of the
// work can't run on its part of the slots.
func firstSpill(slotsHere, slotsAll int, demandHere float64) spill {
	if slotsAll == 0 || demandHere <= 0 {
		return spill{}
	}
	capacity := float64(slotsHere) / float64(slotsAll)
	share := max(0, 1-capacity/(usualLoad*demandHere))
	return spill{share: share, wanted: share}
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
