package placement

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// output returns the plan for the desired placement, or the current plan with the new state of its move.
func (r *round) output() Output {
	switch {
	case r.changes() > 0:
		m := r.describeMove()
		return Output{Plan: r.nextPlan(m), Changed: true, Reason: m.Reason}
	case r.in.Current.Step > r.in.AppliedStep:
		return r.monitorMove()
	case r.unplaceable > 0:
		return r.holdMove(r.holdReason())
	case r.in.Current.Move != nil:
		return r.updateMove(nil, "the move is over")
	}
	return Output{Plan: r.in.Current, Reason: "nothing has to move"}
}

// changes returns the number of buckets whose desired site is not the current one.
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

// monitorMove updates the state of a move under way: the move is suspended while a site that receives
// work is over its limit.
func (r *round) monitorMove() Output {
	if site := r.overloaded(); site != "" {
		return r.holdMove("site " + site + " is over its limit; it has to catch up before more work moves there")
	}
	if r.in.Current.Move == nil || r.in.Current.Move.State != lovageyard.MoveHeld {
		return Output{Plan: r.in.Current, Reason: "the entry instances are moving the work"}
	}
	return r.updateMove(r.describeMove(), "the move goes on")
}

// overloaded returns the name of a site over its limit that receives a moving bucket, or "".
func (r *round) overloaded() string {
	for i := range r.current {
		for b, site := range r.current[i] {
			if site != unplaced && r.isMoving(i, b) && r.available[site] < 0 && r.demandOf(i, b) > 0 {
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
	return fmt.Sprintf("%d buckets fit nowhere within headroom; add capacity, restore a site or lower the demand", r.unplaceable)
}

// holdMove suspends the move; the plan changes only if it is not suspended for the same reason already.
func (r *round) holdMove(reason string) Output {
	before := r.in.Current.Move
	if before != nil && before.State == lovageyard.MoveHeld && before.Reason == reason {
		return Output{Plan: r.in.Current, Reason: reason}
	}
	m := r.describeMove()
	m.State = lovageyard.MoveHeld
	m.Reason = reason
	return r.updateMove(m, reason)
}

// updateMove returns the current plan with a new state of the move; nil means that the move is over.
func (r *round) updateMove(m *lovageyard.Move, reason string) Output {
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

// describeMove returns the move to the desired placement, with its expected end.
func (r *round) describeMove() *lovageyard.Move {
	m := &lovageyard.Move{
		Class:     r.in.Class.Name,
		State:     lovageyard.MoveShifting,
		Remaining: max(r.remainingShare(), r.in.Remaining),
		StartedAt: r.in.Now,
		EmptyBy:   r.drainDeadline(),
		Reason:    "work moves within the cap",
	}
	if r.in.Current.Move != nil {
		m.StartedAt = r.in.Current.Move.StartedAt
	}
	steps := math.Ceil(m.Remaining/r.in.Class.Target.Cap - 1e-9)
	m.EndsAt = r.in.Now.Add(time.Duration(steps) * r.in.Class.Target.Interval.Std())
	m.InTime = m.EmptyBy.IsZero() || !m.EndsAt.After(m.EmptyBy) && r.unplaceable == 0
	if r.unplaceable > 0 {
		m.Reason = r.holdReason()
	}
	if !m.InTime && r.unplaceable == 0 {
		m.Reason = r.lateReason(m)
	}
	return m
}

// lateReason explains that a move ends after its deadline, and which cap would meet the deadline.
func (r *round) lateReason(m *lovageyard.Move) string {
	intervals := math.Floor(float64(m.EmptyBy.Sub(r.in.Now)) / float64(r.in.Class.Target.Interval.Std()))
	if intervals < 1 {
		return "less than one interval is left; the bound can't be met under any cap"
	}
	return fmt.Sprintf("the bound is too early for the cap; a cap of %.2f would meet it", m.Remaining/intervals)
}

// remainingShare returns the largest share of a home's demand that has to move.
func (r *round) remainingShare() float64 {
	largest := 0.0
	for i, h := range r.in.Homes {
		total, moving := 0.0, 0.0
		for b, demand := range h.Buckets {
			total += demand
			if r.desired[i][b] != r.previous[i][b] {
				moving += demand
			}
		}
		if total > 0 {
			largest = max(largest, moving/total)
		}
	}
	return largest
}

// drainDeadline returns the earliest deadline of the draining sites that still serve buckets of the
// class, or zero if there is none.
func (r *round) drainDeadline() time.Time {
	var earliest time.Time
	for _, o := range r.in.Orders {
		if !o.Draining || o.EmptyBy.IsZero() || !r.hasWork(o.Site) {
			continue
		}
		if earliest.IsZero() || o.EmptyBy.Before(earliest) {
			earliest = o.EmptyBy
		}
	}
	return earliest
}

func (r *round) hasWork(site string) bool {
	position := r.positionOf(site)
	if position == unplaced {
		return false
	}
	return slices.ContainsFunc(r.previous, func(buckets []int) bool {
		return slices.Contains(buckets, position)
	})
}

// nextPlan returns the desired placement as the next step of the plan.
func (r *round) nextPlan(m *lovageyard.Move) lovageyard.ClassPlan {
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

// origins returns the site that may still serve each bucket of a home, or unplaced for buckets that
// are not moving.
func (r *round) origins(home int) []int {
	origins := make([]int, lovageyard.Buckets)
	for b := range origins {
		origins[b] = unplaced
		if r.previous[home][b] != r.desired[home][b] {
			origins[b] = r.previous[home][b]
		}
	}
	return origins
}
