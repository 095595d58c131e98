package move

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// overcommitFactor times the demand that the cap admits is the demand of the cells that a step starts
// to move. As more requests arrive than the limiter has tokens for, it uses the whole cap.
const overcommitFactor = 2

// safetyDeviations is how far the demand of the last step, which bypasses the limiter, has to stay
// below the cap, in standard deviations of the number of arrivals.
const safetyDeviations = 3

// Demand is the recent demand for a class at one entry instance, in requests per interval.
type Demand struct {
	// Total is the demand of all homes together.
	Total float64
	// Homes holds the demand of each home failure domain.
	Homes []HomeDemand
}

// HomeDemand is the demand of one home failure domain, indexed by bucket.
type HomeDemand struct {
	FailureDomain string
	Buckets       []float64
}

// Bucket returns the demand of one bucket, or 0 if its home is unknown.
func (d *Demand) Bucket(home string, bucket int) float64 {
	for i := range d.Homes {
		if d.Homes[i].FailureDomain == home {
			return d.Homes[i].Buckets[bucket]
		}
	}
	return 0
}

// Stepper moves one class's buckets at one entry instance towards the newest plan, in steps that take
// at least one interval each and stay within the cap. It is not safe for concurrent use.
type Stepper struct {
	limiter     *Limiter
	target      lovageyard.Target
	plan        lovageyard.ClassPlan
	applied     Placement
	initialized bool
	moving      bool
	steppedAt   time.Time
	// generation is incremented when applied changes.
	generation uint64
}

// NewStepper returns a Stepper without a placement; Initialize sets the first one.
func NewStepper(target lovageyard.Target) *Stepper {
	return &Stepper{
		limiter: NewLimiter(target.Cap, 0),
		target:  target,
	}
}

// Limiter returns the limiter that has to be passed to Route for the stepper's cells.
func (s *Stepper) Limiter() *Limiter {
	return s.limiter
}

// Generation returns a number that grows with each change of the applied placement.
func (s *Stepper) Generation() uint64 {
	return s.generation
}

// Initialized reports whether the stepper has a placement.
func (s *Stepper) Initialized() bool {
	return s.initialized
}

// Applied returns a copy of the placement that the stepper applies.
func (s *Stepper) Applied() Placement {
	return s.applied.Clone()
}

// Initialize sets the first placement, which is that of a neighbour or comes from a plan; later calls
// do nothing. If a step is under way in the placement, it counts as started now.
func (s *Stepper) Initialize(a Placement, now time.Time) {
	if s.initialized {
		return
	}
	s.initialized = true
	s.generation++
	s.applied = a.Clone()
	s.steppedAt = now
	s.moving = s.anyMoving()
}

// SetTarget changes the class's target, which holds the cap and the interval.
func (s *Stepper) SetTarget(t lovageyard.Target) {
	s.target = t
}

// SetPlan sets the plan to move towards. A plan with an older step is ignored.
func (s *Stepper) SetPlan(p lovageyard.ClassPlan) {
	if p.Step < s.plan.Step {
		return
	}
	s.plan = p
}

// Progress returns the newest plan step that is applied in full, and the share of demand, 0 to 1, that
// still has to move.
func (s *Stepper) Progress(d Demand) (step int64, remaining float64) {
	if !s.initialized {
		return 0, 1
	}
	share := s.remainingShare(d)
	if share == 0 && !s.moving {
		return s.plan.Step, 0
	}
	return s.applied.Step, share
}

// Tick completes a step whose interval is over and starts the next one; it reports whether anything
// changed. A step is completed only if peersStarted is true: all peers that share this instance's
// clients must have started the same step. The caller keeps the limiter's cap up to date with the
// demand.
func (s *Stepper) Tick(now time.Time, d Demand, peersStarted bool) bool {
	if !s.initialized || s.plan.Step == 0 {
		return false
	}
	before := s.applied.Step
	changed := s.tick(now, d, peersStarted)
	if changed || before != s.applied.Step {
		s.generation++
	}
	return changed
}

func (s *Stepper) tick(now time.Time, d Demand, peersStarted bool) bool {
	changed := s.addHomes()
	if s.moving {
		if !s.intervalOver(now) || !peersStarted {
			return changed
		}
		s.completeStep()
		changed = true
	}
	return s.startStep(now, d) || changed
}

// Due reports whether Tick may have something to do at the given time.
func (s *Stepper) Due(now time.Time) bool {
	return !s.moving || s.intervalOver(now)
}

// Idle reports whether the stepper is initialized and no step is under way.
func (s *Stepper) Idle() bool {
	return s.initialized && !s.moving
}

func (s *Stepper) intervalOver(now time.Time) bool {
	return now.Sub(s.steppedAt) >= s.target.Interval.Std()
}

// addHomes adds the home failure domains that are new in the plan, with all moves completed.
func (s *Stepper) addHomes() bool {
	added := false
	for _, h := range s.plan.Homes {
		if s.applied.Find(h.FailureDomain) == nil {
			s.applied.Homes = append(s.applied.Homes, newHome(&s.plan, h.FailureDomain))
			added = true
		}
	}
	return added
}

func (s *Stepper) completeStep() {
	ratio := s.limiter.ResetCounts().Ratio()
	for i := range s.applied.Homes {
		cells := s.applied.Homes[i].Cells
		for b := range cells {
			if cells[b].Moving {
				cells[b].completeStep(ratio)
			}
		}
	}
	s.moving = false
}

// startStep starts the next step unless no cell has to move or the move is suspended. It reports
// whether a step was started.
func (s *Stepper) startStep(now time.Time, d Demand) bool {
	cells := s.pendingCells(d)
	if len(cells) == 0 {
		s.applied.Step = s.plan.Step
		return false
	}
	if s.plan.Move != nil && s.plan.Move.State == lovageyard.MoveHeld {
		return false
	}
	s.limiter.ResetCounts()
	demand := 0.0
	for _, c := range cells {
		demand += c.demand
	}
	if demand+safetyDeviations*math.Sqrt(demand) <= s.target.Cap*d.Total {
		s.moveRest(cells, demand)
	} else {
		startCells(cells, overcommitFactor*s.target.Cap*d.Total)
	}
	s.moving = true
	s.steppedAt = now
	return true
}

// pendingCell is a cell that has to move, with the part of its demand that has not moved yet.
type pendingCell struct {
	*Cell
	demand float64
}

// pendingCells sets the targets of all cells from the plan and returns the cells that have to move.
func (s *Stepper) pendingCells(d Demand) []pendingCell {
	var cells []pendingCell
	for i := range s.applied.Homes {
		h := &s.applied.Homes[i]
		for b := range h.Cells {
			c := &h.Cells[b]
			if s.retarget(c, h.FailureDomain, b) {
				cells = append(cells, pendingCell{Cell: c, demand: d.Bucket(h.FailureDomain, b) * (1 - c.Shifted)})
			}
		}
	}
	return cells
}

// moveRest moves the remaining cells immediately and debits the limiter. The caller has checked that
// random variation alone can't raise their demand above the cap.
func (s *Stepper) moveRest(cells []pendingCell, demand float64) {
	for _, c := range cells {
		*c.Cell = Cell{Site: c.Target, Target: c.Target}
	}
	s.limiter.Debit(demand)
}

// startCells marks cells as moving, in order and at least one, until their total demand reaches wanted.
func startCells(cells []pendingCell, wanted float64) {
	started := 0.0
	for i, c := range cells {
		if i > 0 && started >= wanted {
			return
		}
		c.Moving = true
		started += c.demand
	}
}

// retarget sets a cell's target to its site in the plan and reports whether the cell has to move.
func (s *Stepper) retarget(c *Cell, home string, bucket int) bool {
	site := s.plan.SiteOf(home, bucket)
	if site == "" {
		return c.Target != c.Site
	}
	if c.Target != site {
		c.retarget(site)
	}
	return c.Target != c.Site
}

func (s *Stepper) anyMoving() bool {
	for i := range s.applied.Homes {
		for _, c := range s.applied.Homes[i].Cells {
			if c.Moving {
				return true
			}
		}
	}
	return false
}

// remainingShare returns the share of demand whose cells have not reached the plan, or the share of
// cells if there is no demand.
func (s *Stepper) remainingShare(d Demand) float64 {
	remainingCells := 0
	totalCells := 0
	demand := 0.0
	for i := range s.applied.Homes {
		h := &s.applied.Homes[i]
		for b := range h.Cells {
			totalCells++
			c := &h.Cells[b]
			site := s.plan.SiteOf(h.FailureDomain, b)
			if c.Target == c.Site && (site == "" || site == c.Site) {
				continue
			}
			remainingCells++
			demand += d.Bucket(h.FailureDomain, b) * (1 - c.Shifted)
		}
	}
	if remainingCells == 0 {
		return 0
	}
	if d.Total > 0 && demand > 0 {
		return demand / d.Total
	}
	return float64(remainingCells) / float64(totalCells)
}
