package placement

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// conclude turns the desired placement into a plan and a state of the move.
func (r *round) conclude() Output {
	switch {
	case r.changes() > 0:
		m := r.move()
		return Output{Plan: r.plan(m), Changed: true, Reason: m.Reason}
	case r.in.Current.Step > r.in.AppliedStep:
		return r.follow()
	case r.held > 0:
		return r.hold(r.holdReason())
	case r.in.Current.Move != nil:
		return r.restate(nil, "the move is over")
	}
	return Output{Plan: r.in.Current, Reason: "nothing has to move"}
}

func (r *round) changes() int {
	count := 0
	for i := range r.desired {
		for b := range r.desired[i] {
			if r.desired[i][b] != r.current[i][b] {
				count++
			}
		}
	}
	return count
}

// follow watches a move under way: it is held while a site that gains work is over its limit.
func (r *round) follow() Output {
	if site := r.overloaded(); site != "" {
		return r.hold("site " + site + " is over its limit; it has to catch up before more work moves there")
	}
	if r.in.Current.Move == nil || r.in.Current.Move.State != lovageyard.MoveHeld {
		return Output{Plan: r.in.Current, Reason: "the entry instances are moving the work"}
	}
	return r.restate(r.move(), "the move goes on")
}

// overloaded returns a site that gains work under way although it is over its limit, or "".
func (r *round) overloaded() string {
	for i := range r.current {
		for b, site := range r.current[i] {
			if site != unplaced && r.inFlight(i, b) && r.room[site] < 0 && r.demandOf(i, b) > 0 {
				return r.sites[site].Name
			}
		}
	}
	return ""
}

func (r *round) demandOf(home, bucket int) float64 {
	return r.in.Homes[home].Buckets[bucket]
}

func (r *round) holdReason() string {
	return fmt.Sprintf("%d buckets fit nowhere within headroom; add capacity, restore a site or lower the demand", r.held)
}

func (r *round) hold(reason string) Output {
	before := r.in.Current.Move
	if before != nil && before.State == lovageyard.MoveHeld && before.Reason == reason {
		return Output{Plan: r.in.Current, Reason: reason}
	}
	m := r.move()
	m.State = lovageyard.MoveHeld
	m.Reason = reason
	return r.restate(m, reason)
}

// restate publishes the current placement with another state of the move.
func (r *round) restate(m *lovageyard.Move, reason string) Output {
	p := r.in.Current
	p.Move = m
	p.Epoch = r.in.Epoch
	if m == nil {
		p.Homes = slices.Clone(p.Homes)
		for i := range p.Homes {
			p.Homes[i].From = nil
		}
	}
	return Output{Plan: p, Changed: true, Reason: reason}
}

// move describes the shift that brings all work to its desired place.
func (r *round) move() *lovageyard.Move {
	m := &lovageyard.Move{
		Class:     r.in.Class.Name,
		State:     lovageyard.MoveShifting,
		Remaining: max(r.openShare(), r.in.Remaining),
		StartedAt: r.in.Now,
		EmptyBy:   r.emptyBy(),
		Reason:    "work moves within the cap",
	}
	if r.in.Current.Move != nil {
		m.StartedAt = r.in.Current.Move.StartedAt
	}
	steps := math.Ceil(m.Remaining/r.in.Class.Target.Cap - 1e-9)
	m.EndsAt = r.in.Now.Add(time.Duration(steps) * r.in.Class.Target.Interval.Std())
	m.InTime = m.EmptyBy.IsZero() || !m.EndsAt.After(m.EmptyBy) && r.held == 0
	if r.held > 0 {
		m.Reason = r.holdReason()
	}
	if !m.InTime && r.held == 0 {
		m.Reason = r.lateReason(m)
	}
	return m
}

// lateReason says which cap would meet the bound.
func (r *round) lateReason(m *lovageyard.Move) string {
	intervals := math.Floor(float64(m.EmptyBy.Sub(r.in.Now)) / float64(r.in.Class.Target.Interval.Std()))
	if intervals < 1 {
		return "less than one interval is left; the bound can't be met under any cap"
	}
	return fmt.Sprintf("the bound is too early for the cap; a cap of %.2f would meet it", m.Remaining/intervals)
}

// openShare returns the largest share of any home's demand that has to move.
func (r *round) openShare() float64 {
	largest := 0.0
	for i, h := range r.in.Homes {
		total, open := 0.0, 0.0
		for b, demand := range h.Buckets {
			total += demand
			if r.desired[i][b] != r.from[i][b] {
				open += demand
			}
		}
		if total > 0 {
			largest = max(largest, open/total)
		}
	}
	return largest
}

// emptyBy returns the earliest bound of a draining site that still has work of the class.
func (r *round) emptyBy() time.Time {
	var earliest time.Time
	for _, o := range r.in.Orders {
		if !o.Draining || o.EmptyBy.IsZero() || !r.holdsWork(o.Site) {
			continue
		}
		if earliest.IsZero() || o.EmptyBy.Before(earliest) {
			earliest = o.EmptyBy
		}
	}
	return earliest
}

func (r *round) holdsWork(site string) bool {
	position := r.position(site)
	if position == unplaced {
		return false
	}
	return slices.ContainsFunc(r.from, func(buckets []int) bool {
		return slices.Contains(buckets, position)
	})
}

// plan returns the desired placement as the next step.
func (r *round) plan(m *lovageyard.Move) lovageyard.ClassPlan {
	p := lovageyard.ClassPlan{
		Class:     r.in.Class.Name,
		Epoch:     r.in.Epoch,
		Step:      r.in.Current.Step + 1,
		SteppedAt: r.in.Now,
		Move:      m,
	}
	for _, s := range r.sites {
		p.Sites = append(p.Sites, s.Name)
	}
	for i, h := range r.in.Homes {
		home := lovageyard.HomePlacement{FailureDomain: h.FailureDomain, Buckets: r.desired[i]}
		if m != nil {
			home.From = r.origins(i)
		}
		p.Homes = append(p.Homes, home)
	}
	return p
}

// origins returns where the work of a home's buckets may still be; unplaced if it has arrived.
func (r *round) origins(home int) []int {
	origins := make([]int, lovageyard.Buckets)
	for b := range origins {
		origins[b] = unplaced
		if r.from[home][b] != r.desired[home][b] {
			origins[b] = r.from[home][b]
		}
	}
	return origins
}
