package move

import "lovageyard.example/lovageyard"

// whole is the fraction from which on a cell counts as moved altogether.
const whole = 1 - 1e-9

// Cell says where the work of one bucket goes.
type Cell struct {
	// Site is where the bucket's work is.
	Site string
	// Target is where it moves to; equal to Site if it does not move.
	Target string
	// Shifted is the fraction, 0 to 1, that has moved for good.
	Shifted float64
	// Moving says that the rest moves in this step, as far as the gate allows.
	Moving bool
}

// Route returns the site of a request, and whether the request counts as moved work.
// The position is drawn anew for each request, evenly from 0 to 1, so that no client
// outweighs the settled fraction; the rest asks the gate while the cell is moving.
func (c *Cell) Route(position float64, g *Limiter) (site string, moved bool) {
	switch {
	case c.Target == c.Site:
		return c.Site, false
	case position < c.Shifted:
		return c.Target, false
	case c.Moving && g.Allow():
		return c.Target, true
	}
	return c.Site, false
}

// completeStep ends the cell's step, in which the given ratio of the rest was admitted.
func (c *Cell) completeStep(ratio float64) {
	c.Moving = false
	c.Shifted += (1 - c.Shifted) * ratio
	if c.Shifted >= whole {
		*c = Cell{Site: c.Target, Target: c.Target}
	}
}

// aim points a cell that is between steps at a site. A cell that has moved in part
// first ends that move, or turns round if it is to go back.
func (c *Cell) aim(site string) {
	switch {
	case c.Shifted == 0:
		*c = Cell{Site: c.Site, Target: site}
	case site == c.Site:
		*c = Cell{Site: c.Target, Target: c.Site, Shifted: 1 - c.Shifted}
	}
}

// Home holds the cells of one home failure domain.
type Home struct {
	FailureDomain string
	Cells         []Cell
}

// Placement is what one entry instance applies for a class.
type Placement struct {
	// Step is the plan step whose placement the cells have reached or move to.
	Step int64
	// Homes are in the order of the plan.
	Homes []Home
}

// FromPlan returns the placement of a plan as applied in full.
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

// Clone returns a copy that shares nothing with a.
func (a Placement) Clone() Placement {
	homes := make([]Home, len(a.Homes))
	for i, h := range a.Homes {
		homes[i] = Home{FailureDomain: h.FailureDomain, Cells: append([]Cell(nil), h.Cells...)}
	}
	return Placement{Step: a.Step, Homes: homes}
}

// Find returns the cells of a home failure domain, or nil.
func (a *Placement) Find(home string) []Cell {
	for i := range a.Homes {
		if a.Homes[i].FailureDomain == home {
			return a.Homes[i].Cells
		}
	}
	return nil
}
