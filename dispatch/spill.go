package dispatch

import "time"

// Weights of the share of requests that run in other regions.
const (
	// leavePart is the part of the bound on shifts that work which leaves the region may use in
	// one window. Chance adds about as much.
	leavePart = 0.4
	// returnPart is the same for work that comes back: what has come home is missing elsewhere when the
	// next wave of requests arrives faster than work may leave.
	returnPart = 0.04
	// wishWeight is the weight of one request's wish in the wanted share.
	wishWeight = 0.03
)

// usualLoad is the part of all slots that is taken to be busy when an instance starts and
// knows no better: nearly all, as every object runs cold once.
const usualLoad = 0.9

// ShiftBound is the largest share of a region's requests that may change the region in which
// they run from one window to the next; Window is above 0.
type ShiftBound struct {
	MaxChange float64
	Window    time.Duration
}

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
func (s *spill) wish(elsewhere bool, bound ShiftBound, now time.Time) {
	sample := 0.0
	if elsewhere {
		sample = 1
	}
	if s.at.IsZero() {
		s.at = now
	}
	s.wanted += wishWeight * (sample - s.wanted)
	step := bound.MaxChange * now.Sub(s.at).Seconds() / bound.Window.Seconds()
	s.at = now
	s.share += min(leavePart*step, max(-returnPart*step, s.wanted-s.share))
}

// leaves says whether a request at a position, 0 to 1, is in the share that leaves.
func (s *spill) leaves(position float64) bool {
	return position < s.share
}
