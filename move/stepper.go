package move

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// overcommit is how much more work a step opens than the cap lets through, so that the
// gate always finds a request to admit.
const overcommit = 2

// certainty is how many standard deviations of chance the last step leaves below the cap.
const certainty = 3

// Demand counts the requests of a class that one entry instance saw of late.
type Demand struct {
	// Total is the number of requests in one interval.
	Total float64
	// Homes holds the share of each home failure domain.
	Homes []HomeDemand
}

// HomeDemand counts the requests of one home failure domain, bucket by bucket.
type HomeDemand struct {
	FailureDomain string
	Buckets       []float64
}

// Bucket returns the requests of one bucket.
func (d *Demand) Bucket(home string, bucket int) float64 {
	for i := range d.Homes {
		if d.Homes[i].FailureDomain == home {
			return d.Homes[i].Buckets[bucket]
		}
	}
	return 0
}

// Stepper moves one class's work at one entry instance towards the newest plan, in
// steps that are at least one interval apart and each within the cap.
type Stepper struct {
	gate        *Limiter
	target      lovageyard.Target
	plan        lovageyard.ClassPlan
	applied     Placement
	initialized bool
	moving      bool
	steppedAt   time.Time
	// generation grows with each change of what is applied.
	generation uint64
}

// NewStepper returns a Stepper without a placement; Adopt gives it one.
func NewStepper(target lovageyard.Target) *Stepper {
	return &Stepper{
		gate:   NewLimiter(target.Cap, 0),
		target: target,
	}
}

// Limiter returns the gate that the stepper's routes pass.
func (s *Stepper) Limiter() *Limiter {
	return s.gate
}

// Generation grows with each change of what Applied returns.
func (s *Stepper) Generation() uint64 {
	return s.generation
}

// Initialized says whether the stepper has a placement.
func (s *Stepper) Initialized() bool {
	return s.initialized
}

// Applied returns a copy of what the stepper applies.
func (s *Stepper) Applied() Placement {
	return s.applied.Clone()
}

// Initialize takes over a placement that is in force elsewhere; only the first one counts.
// The steps that others may have under way are taken as just begun.
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

// SetTarget takes in a changed target of the class.
func (s *Stepper) SetTarget(t lovageyard.Target) {
	s.target = t
}

// SetPlan takes in a plan; an older one is ignored.
func (s *Stepper) SetPlan(p lovageyard.ClassPlan) {
	if p.Step < s.plan.Step {
		return
	}
	s.plan = p
}

// Progress returns the plan step that is applied in full, and the share of demand that still has to move.
func (s *Stepper) Progress(d Demand) (step int64, remaining float64) {
	if !s.initialized {
		return 0, 1
	}
	open := s.open(d)
	if open == 0 && !s.moving {
		return s.plan.Step, 0
	}
	return s.applied.Step, open
}

// Tick ends a step that is over and begins the next; it says whether anything changed.
// The gate's owner keeps the gate set to the present demand.
// The level argument says that every peer that shares this instance's clients has
// begun the step that this instance has under way.
func (s *Stepper) Tick(now time.Time, d Demand, level bool) bool {
	if !s.initialized || s.plan.Step == 0 {
		return false
	}
	before := s.applied.Step
	changed := s.tick(now, d, level)
	if changed || before != s.applied.Step {
		s.generation++
	}
	return changed
}

func (s *Stepper) tick(now time.Time, d Demand, level bool) bool {
	changed := s.addHomes()
	if s.moving {
		if !s.intervalOver(now) || !level {
			return changed
		}
		s.settle()
		changed = true
	}
	return s.begin(now, d) || changed
}

// Due says whether Tick has something to do at a time.
func (s *Stepper) Due(now time.Time) bool {
	return !s.moving || s.intervalOver(now)
}

// Idle says whether no step is under way.
func (s *Stepper) Idle() bool {
	return s.initialized && !s.moving
}

func (s *Stepper) intervalOver(now time.Time) bool {
	return now.Sub(s.steppedAt) >= s.target.Interval.Std()
}

// addHomes takes over the placement of home failure domains that the plan has newly got.
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

func (s *Stepper) settle() {
	ratio := s.gate.ResetCounts().Ratio()
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

// begin opens the next step. A held move begins nothing.
func (s *Stepper) begin(now time.Time, d Demand) bool {
	cells := s.openCells(d)
	if len(cells) == 0 {
		s.applied.Step = s.plan.Step
		return false
	}
	if s.plan.Move != nil && s.plan.Move.State == lovageyard.MoveHeld {
		return false
	}
	s.gate.ResetCounts()
	left := 0.0
	for _, c := range cells {
		left += c.left
	}
	if left+certainty*math.Sqrt(left) <= s.target.Cap*d.Total {
		s.finish(cells, left)
	} else {
		openSome(cells, overcommit*s.target.Cap*d.Total)
	}
	s.moving = true
	s.steppedAt = now
	return true
}

// openCell is a cell that has to move, with the demand that it has left.
type openCell struct {
	*Cell
	left float64
}

// openCells points all cells at the plan and returns those that have to move.
func (s *Stepper) openCells(d Demand) []openCell {
	var cells []openCell
	for i := range s.applied.Homes {
		h := &s.applied.Homes[i]
		for b := range h.Cells {
			c := &h.Cells[b]
			if s.aim(c, h.FailureDomain, b) {
				cells = append(cells, openCell{Cell: c, left: d.Bucket(h.FailureDomain, b) * (1 - c.Shifted)})
			}
		}
	}
	return cells
}

// finish moves the rest at once: it is so little that chance alone can't lift it over
// the cap. The gate is charged for it.
func (s *Stepper) finish(cells []openCell, left float64) {
	for _, c := range cells {
		*c.Cell = Cell{Site: c.Target, Target: c.Target}
	}
	s.gate.Debit(left)
}

// openSome opens cells in their order until they hold the wanted work.
func openSome(cells []openCell, wanted float64) {
	opened := 0.0
	for i, c := range cells {
		if i > 0 && opened >= wanted {
			return
		}
		c.Moving = true
		opened += c.left
	}
}

// aim points a cell at its site in the plan and says whether it has to move.
func (s *Stepper) aim(c *Cell, home string, bucket int) bool {
	site := s.plan.SiteOf(home, bucket)
	if site == "" {
		return c.Target != c.Site
	}
	if c.Target != site {
		c.aim(site)
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

// open returns the share of demand whose cells have not reached the plan.
func (s *Stepper) open(d Demand) float64 {
	buckets := 0
	count := 0
	work := 0.0
	for i := range s.applied.Homes {
		h := &s.applied.Homes[i]
		for b := range h.Cells {
			count++
			c := &h.Cells[b]
			site := s.plan.SiteOf(h.FailureDomain, b)
			if c.Target == c.Site && (site == "" || site == c.Site) {
				continue
			}
			buckets++
			work += d.Bucket(h.FailureDomain, b) * (1 - c.Shifted)
		}
	}
	if buckets == 0 {
		return 0
	}
	if d.Total > 0 && work > 0 {
		return work / d.Total
	}
	return float64(buckets) / float64(count)
}
