package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
)

// Rules of placement.
const (
	// FreshFor is the age up to which a measurement is taken at its word.
	FreshFor = 5 * time.Second
	// StaleAfter is the age from which on a site gains no work.
	StaleAfter = 30 * time.Second
	// maxMargin is the share of capacity held back from a site whose measurement is about to be stale.
	maxMargin = 0.2
	// lookAhead is the number of steps that the plan may be ahead of the entry instances.
	lookAhead = 1
	// gainNeeded is the latency that a voluntary move has to save.
	gainNeeded = 2 * time.Millisecond
	// unplaced marks a bucket without a site.
	unplaced = -1
)

// Round makes one round of placement for one class.
func Round(in Input) Output {
	r := newRound(in)
	if len(r.sites) == 0 {
		return Output{Plan: in.Current, Reason: "no site of the class is known"}
	}
	r.load()
	if in.Current.Step == 0 {
		return r.first()
	}
	r.desire()
	return r.step()
}

type round struct {
	in       Input
	sites    []Site
	eligible []bool
	draining []bool
	room     []float64
	current  [][]int
	desired  [][]int
	order    [][]int
	held     int
}

func newRound(in Input) *round {
	r := &round{in: in, sites: slices.Clone(in.Sites)}
	slices.SortFunc(r.sites, func(a, b Site) int { return strings.Compare(a.Name, b.Name) })
	r.eligible = make([]bool, len(r.sites))
	r.draining = make([]bool, len(r.sites))
	r.room = make([]float64, len(r.sites))
	for i, s := range r.sites {
		r.draining[i] = r.isDraining(s.Name)
		r.eligible[i] = !r.draining[i] && s.Alive && r.targets(s.Name)
	}
	r.current = make([][]int, len(in.Homes))
	for i, h := range in.Homes {
		r.current[i] = r.positions(h.FailureDomain)
	}
	return r
}

func (r *round) isDraining(site string) bool {
	return slices.ContainsFunc(r.in.Orders, func(o lovageyard.SiteOrder) bool {
		return o.Site == site && o.Draining
	})
}

func (r *round) targets(site string) bool {
	sites := r.in.Class.Target.Sites
	return len(sites) == 0 || slices.Contains(sites, site)
}

// positions returns the current site of each bucket of a home, as positions in r.sites.
func (r *round) positions(home string) []int {
	buckets := make([]int, lovageyard.Buckets)
	for b := range buckets {
		buckets[b] = r.position(r.in.Current.SiteOf(home, b))
	}
	return buckets
}

func (r *round) position(site string) int {
	position, found := slices.BinarySearchFunc(r.sites, site, func(s Site, name string) int {
		return strings.Compare(s.Name, name)
	})
	if !found {
		return unplaced
	}
	return position
}

// load works out the room of each site: what it may carry, less what it carries.
func (r *round) load() {
	for i, s := range r.sites {
		r.room[i] = s.Capacity*(1-r.in.Headroom-margin(s.Age)) - s.OtherLoad
		if s.Capacity == 0 {
			r.room[i] = 0
		}
	}
	for i := range r.in.Homes {
		for b, site := range r.current[i] {
			if site != unplaced {
				r.room[site] -= r.in.Homes[i].Buckets[b]
			}
		}
	}
}

// margin returns the share of capacity held back for the age of a measurement.
func margin(age time.Duration) float64 {
	if age <= FreshFor {
		return 0
	}
	return min(maxMargin, maxMargin*float64(age-FreshFor)/float64(StaleAfter-FreshFor))
}

// gains says whether a site may be given work that brings so much demand.
func (r *round) gains(site int, demand float64) bool {
	return r.eligible[site] && r.sites[site].Age < StaleAfter && r.room[site] >= demand
}

// ranked returns the sites in the order of their latency from a home.
func (r *round) ranked(h Home) []int {
	ranks := make([]int, len(r.sites))
	for i := range ranks {
		ranks[i] = i
	}
	slices.SortStableFunc(ranks, func(a, b int) int {
		return int(r.latency(h, a) - r.latency(h, b))
	})
	return ranks
}

func (r *round) latency(h Home, site int) time.Duration {
	return r.in.Latencies.Of(h, r.sites[site])
}

// first places every bucket where the least latency and the capacity put it.
func (r *round) first() Output {
	r.desired = make([][]int, len(r.in.Homes))
	for i, h := range r.in.Homes {
		ranks := r.ranked(h)
		r.desired[i] = make([]int, lovageyard.Buckets)
		for b := range r.desired[i] {
			r.desired[i][b] = r.initial(h, ranks, b)
		}
	}
	if !slices.Contains(r.eligible, true) {
		return Output{Plan: r.in.Current, Reason: "no eligible site takes work"}
	}
	return Output{Plan: r.plan(r.desired, nil), Changed: true, Reason: "first placement"}
}

// initial returns the nearest eligible site with room, or the nearest eligible one;
// among sites of equal latency the bucket's number decides.
func (r *round) initial(h Home, ranks []int, bucket int) int {
	demand := h.Buckets[bucket]
	best := unplaced
	var ties []int
	for _, site := range ranks {
		if !r.eligible[site] {
			continue
		}
		if best == unplaced {
			best = site
		}
		if r.latency(h, site) == r.latency(h, best) {
			ties = append(ties, site)
		}
	}
	if len(ties) == 0 {
		return unplaced
	}
	site := ties[bucket%len(ties)]
	if r.room[site] < demand {
		if other := r.withRoom(ranks, demand); other != unplaced {
			site = other
		}
	}
	r.room[site] -= demand
	return site
}

func (r *round) withRoom(ranks []int, demand float64) int {
	for _, site := range ranks {
		if r.gains(site, demand) {
			return site
		}
	}
	return unplaced
}

// desire works out the placement that the round would like, without regard to the cap.
func (r *round) desire() {
	r.desired = make([][]int, len(r.in.Homes))
	r.order = make([][]int, len(r.in.Homes))
	ranks := make([][]int, len(r.in.Homes))
	for i, h := range r.in.Homes {
		r.desired[i] = slices.Clone(r.current[i])
		r.order[i] = byDemand(h)
		ranks[i] = r.ranked(h)
	}
	r.eachBucket(func(i, b int) { r.leave(i, b, ranks[i]) })
	r.eachBucket(func(i, b int) { r.improve(i, b, ranks[i]) })
}

func (r *round) eachBucket(visit func(home, bucket int)) {
	for i := range r.in.Homes {
		for _, b := range r.order[i] {
			visit(i, b)
		}
	}
}

func byDemand(h Home) []int {
	order := make([]int, lovageyard.Buckets)
	for b := range order {
		order[b] = b
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case h.Buckets[a] > h.Buckets[b]:
			return -1
		case h.Buckets[a] < h.Buckets[b]:
			return 1
		}
		return 0
	})
	return order
}

// leave moves a bucket off a site that may not have it or that is over its limit.
func (r *round) leave(home, bucket int, ranks []int) {
	from := r.desired[home][bucket]
	if from != unplaced && r.eligible[from] && r.room[from] >= 0 {
		return
	}
	demand := r.in.Homes[home].Buckets[bucket]
	to := r.withRoom(ranks, demand)
	if to == unplaced {
		r.held++
		return
	}
	r.shift(home, bucket, to)
}

// improve moves a bucket to a nearer site that has room.
func (r *round) improve(home, bucket int, ranks []int) {
	h := r.in.Homes[home]
	from := r.desired[home][bucket]
	to := r.withRoom(ranks, h.Buckets[bucket])
	if from == unplaced || to == unplaced || !r.eligible[from] {
		return
	}
	if r.latency(h, from)-r.latency(h, to) < gainNeeded {
		return
	}
	r.shift(home, bucket, to)
}

func (r *round) shift(home, bucket, to int) {
	demand := r.in.Homes[home].Buckets[bucket]
	if from := r.desired[home][bucket]; from != unplaced {
		r.room[from] += demand
	}
	r.room[to] -= demand
	r.desired[home][bucket] = to
}

// step publishes as much of the desired placement as the cap and the pace allow.
func (r *round) step() Output {
	open := r.openShare(r.current)
	if open == 0 {
		return r.rest()
	}
	move := r.move(open)
	if r.in.Current.Step > r.in.Reached+lookAhead {
		return r.hold(move, "the entry instances have not settled the last step")
	}
	if wait := r.in.Class.Target.Interval.Std() - r.in.Now.Sub(r.in.Current.SteppedAt); r.in.Current.Move != nil && wait > 0 {
		return Output{Plan: r.in.Current, Reason: "the interval of the last step is not over"}
	}
	placed := r.take()
	move.State = lovageyard.MoveShifting
	move.Remaining = r.openShare(placed)
	move.Reason = "step within the cap"
	return Output{Plan: r.plan(placed, move), Changed: true, Reason: move.Reason}
}

// rest ends a move that is over.
func (r *round) rest() Output {
	if r.held > 0 {
		move := r.move(r.heldShare())
		return r.hold(move, r.holdReason())
	}
	if r.in.Current.Move == nil {
		return Output{Plan: r.in.Current, Reason: "nothing has to move"}
	}
	if r.in.Current.Step > r.in.Reached {
		return Output{Plan: r.in.Current, Reason: "the last step has not settled"}
	}
	plan := r.in.Current
	plan.Move = nil
	plan.Epoch = r.in.Epoch
	return Output{Plan: plan, Changed: true, Reason: "the move is over"}
}

func (r *round) holdReason() string {
	return fmt.Sprintf("%d buckets fit nowhere within headroom; add capacity, restore a site or lower the demand", r.held)
}

func (r *round) hold(move *lovageyard.Move, reason string) Output {
	move.State = lovageyard.MoveHeld
	move.Reason = reason
	before := r.in.Current.Move
	if before != nil && before.State == move.State && before.Reason == reason {
		return Output{Plan: r.in.Current, Reason: reason}
	}
	plan := r.in.Current
	plan.Move = move
	plan.Epoch = r.in.Epoch
	return Output{Plan: plan, Changed: true, Reason: reason}
}

// take returns the current placement with one step of the desired one: in each home
// the buckets of largest demand whose sum stays within the cap, at least one bucket.
func (r *round) take() [][]int {
	placed := make([][]int, len(r.current))
	for i, h := range r.in.Homes {
		placed[i] = slices.Clone(r.current[i])
		weights := weigh(h)
		budget := r.in.Class.Target.Cap
		taken := 0
		for _, b := range r.order[i] {
			if r.desired[i][b] == r.current[i][b] {
				continue
			}
			if taken > 0 && weights[b] > budget {
				continue
			}
			placed[i][b] = r.desired[i][b]
			budget -= weights[b]
			taken++
		}
	}
	return placed
}

// weigh returns the share of a home's demand that each bucket has.
func weigh(h Home) [lovageyard.Buckets]float64 {
	var weights [lovageyard.Buckets]float64
	total := 0.0
	for _, d := range h.Buckets {
		total += d
	}
	for b, d := range h.Buckets {
		if total == 0 {
			weights[b] = 1.0 / lovageyard.Buckets
			continue
		}
		weights[b] = d / total
	}
	return weights
}

// openShare returns the largest share of any home's demand that is not yet where it should be.
func (r *round) openShare(placed [][]int) float64 {
	largest := 0.0
	for i, h := range r.in.Homes {
		weights := weigh(h)
		open := 0.0
		for b := range placed[i] {
			if placed[i][b] != r.desired[i][b] {
				open += max(weights[b], math.SmallestNonzeroFloat64)
			}
		}
		largest = max(largest, open)
	}
	return largest
}

// heldShare returns the share of demand that should leave its site and can't.
func (r *round) heldShare() float64 {
	largest := 0.0
	for i, h := range r.in.Homes {
		weights := weigh(h)
		held := 0.0
		for b, site := range r.desired[i] {
			if site == unplaced || !r.eligible[site] {
				held += weights[b]
			}
		}
		largest = max(largest, held)
	}
	return largest
}

// move describes the shift that brings the open share to its place.
func (r *round) move(open float64) *lovageyard.Move {
	m := &lovageyard.Move{
		Class:     r.in.Class.Name,
		State:     lovageyard.MovePlanned,
		Remaining: open,
		StartedAt: r.in.Now,
		EmptyBy:   r.emptyBy(),
	}
	if r.in.Current.Move != nil {
		m.StartedAt = r.in.Current.Move.StartedAt
	}
	steps := math.Ceil(open/r.in.Class.Target.Cap - 1e-9)
	m.EndsAt = r.in.Now.Add(time.Duration(steps) * r.in.Class.Target.Interval.Std())
	m.InTime = m.EmptyBy.IsZero() || !m.EndsAt.After(m.EmptyBy)
	return m
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
	return slices.ContainsFunc(r.current, func(buckets []int) bool {
		return position != unplaced && slices.Contains(buckets, position)
	})
}

func (r *round) plan(placed [][]int, move *lovageyard.Move) lovageyard.ClassPlan {
	p := lovageyard.ClassPlan{
		Class:     r.in.Class.Name,
		Epoch:     r.in.Epoch,
		Step:      r.in.Current.Step + 1,
		SteppedAt: r.in.Now,
		Move:      move,
	}
	for _, s := range r.sites {
		p.Sites = append(p.Sites, s.Name)
	}
	for i, h := range r.in.Homes {
		p.Homes = append(p.Homes, lovageyard.HomePlacement{FailureDomain: h.FailureDomain, Buckets: placed[i]})
	}
	return p
}
