package move

import "lovageyard.example/lovageyard"

// completeFraction is the fraction from which a cell counts as moved in full, despite rounding errors.
const completeFraction = 1 - 1e-9

// Cell is the placement of one bucket of a home failure domain.
type Cell struct {
	// Site is the site that serves the bucket.
	Site string
	// Target is the site that the bucket moves to; it equals Site if the bucket does not move.
	Target string
	// Shifted is the fraction of the bucket, 0 to 1, that has moved permanently.
	Shifted float64
	// Moving reports whether the rest moves in the current step, as the limiter allows.
	Moving bool
}

// Route returns the site of a request, and whether the limiter admitted the request to the target.
// The position is a uniform random number from 0 to 1, drawn for each request, so that a client with
// many requests does not skew the shifted fraction.
func (c *Cell) Route(position float64, l *Limiter) (site string, moved bool) {
	switch {
	case c.Target == c.Site:
		return c.Site, false
	case position < c.Shifted:
		return c.Target, false
	case c.Moving && l.Allow():
		return c.Target, true
	}
	return c.Site, false
}

// completeStep ends the cell's step, in which the given fraction of the requests that had not moved
// was admitted.
func (c *Cell) completeStep(ratio float64) {
	c.Moving = false
	c.Shifted += (1 - c.Shifted) * ratio
	if c.Shifted >= completeFraction {
		*c = Cell{Site: c.Target, Target: c.Target}
	}
}

// retarget sets the target of a cell that is between steps. A cell that has moved in part first
// completes that move, or reverses it if the new target is its original site.
func (c *Cell) retarget(site string) {
	switch {
	case c.Shifted == 0:
		*c = Cell{Site: c.Site, Target: site}
	case site == c.Site:
		*c = Cell{Site: c.Target, Target: c.Site, Shifted: 1 - c.Shifted}
	}
}

// Home holds the cells of one home failure domain, indexed by bucket.
type Home struct {
	FailureDomain string
	Cells         []Cell
}

// Placement is the placement that one entry instance applies for a class.
type Placement struct {
	// Step is the plan step that the cells have reached or move to.
	Step int64
	// Homes are in the order of the plan.
	Homes []Home
}

// FromPlan returns the placement of a plan with all moves completed.
func FromPlan(p lovageyard.ClassPlan) Placement {
	a := Placement{Step: p.Step, Homes: make([]Home, 0, len(p.Homes))}
	for _, h := range p.Homes {
		a.Homes = append(a.Homes, newHome(&p, h.FailureDomain))
	}
	return a
}

func newHome(p *lovageyard.ClassPlan, home string) Home {
	h := Home{FailureDomain: home, Cells: make([]Cell, lovageyard.Buckets)}
	for bucket := range h.Cells {
		site := p.SiteOf(home, bucket)
		h.Cells[bucket] = Cell{Site: site, Target: site}
	}
	return h
}

// Clone returns a deep copy.
func (a Placement) Clone() Placement {
	homes := make([]Home, len(a.Homes))
	for i, h := range a.Homes {
		homes[i] = Home{FailureDomain: h.FailureDomain, Cells: append([]Cell(nil), h.Cells...)}
	}
	return Placement{Step: a.Step, Homes: homes}
}

// Find returns the cells of a home failure domain, or nil if the placement has none. The cells are
// not copied.
func (a *Placement) Find(home string) []Cell {
	for i := range a.Homes {
		if a.Homes[i].FailureDomain == home {
			return a.Homes[i].Cells
		}
	}
	return nil
}
