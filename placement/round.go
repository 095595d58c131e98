package placement

import (
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
)

// Limits of placement.
const (
	// FreshAge is the age up to which a measurement is used without a safety margin.
	FreshAge = 12 * time.Second
	// StaleAge is the age from which on a site receives no further buckets.
	StaleAge = 30 * time.Second
	// maxMargin is the share of capacity that is reserved at a site whose measurement is almost StaleAge old.
	maxMargin = 0.2
	// minLatencyGain is the least latency that a move to a nearer site has to save.
	minLatencyGain = 2 * time.Millisecond
	// unplaced marks a bucket without a site.
	unplaced = -1
)

// Round computes the next plan of one class from the current plan and measurements. The plan may be
// ahead of what the entry instances apply, as each of them limits its own moves by the cap.
func Round(in Input) Output {
	r := newRound(in)
	if len(r.sites) == 0 {
		return Output{Plan: in.Current, Reason: "no site of the class is known"}
	}
	r.computeAvailable()
	if in.Current.Step == 0 {
		return r.placeInitially()
	}
	r.computeDesired()
	return r.output()
}

// round is the state of one round. Sites are referred to by their position in sites.
type round struct {
	in    Input
	sites []Site
	// eligible and available hold, for each site, whether it may serve the class, and how many more
	// requests per second it can take.
	eligible  []bool
	available []float64
	// current is the site of each bucket in the plan in force, previous the site that may still serve
	// it, and desired the site that the round selects. All three are indexed by home, then by bucket.
	current  [][]int
	previous [][]int
	desired  [][]int
	// bucketOrder holds the buckets of each home in descending order of demand.
	bucketOrder [][]int
	// unplaceable counts the buckets that need another site but fit at none.
	unplaceable int
}

func newRound(in Input) *round {
	r := &round{in: in, sites: slices.Clone(in.Sites)}
	slices.SortFunc(r.sites, func(a, b Site) int { return strings.Compare(a.Name, b.Name) })
	r.eligible = make([]bool, len(r.sites))
	r.available = make([]float64, len(r.sites))
	for i, s := range r.sites {
		r.eligible[i] = s.Alive && r.isTarget(s.Name) && !r.isDraining(s.Name)
	}
	r.current = make([][]int, len(in.Homes))
	r.previous = make([][]int, len(in.Homes))
	r.desired = make([][]int, len(in.Homes))
	r.bucketOrder = make([][]int, len(in.Homes))
	positions := r.sitePositions()
	for i, h := range in.Homes {
		placed := in.Current.Home(h.FailureDomain)
		if placed == nil {
			placed = &lovageyard.HomePlacement{}
		}
		r.current[i] = toPositions(placed.Buckets, positions)
		r.previous[i] = slices.Clone(r.current[i])
		if in.AppliedStep < in.Current.Step {
			r.applyOrigins(i, toPositions(placed.From, positions))
		}
		r.bucketOrder[i] = byDemand(h)
	}
	return r
}

// sitePositions returns the position in r.sites of each site of the current plan.
func (r *round) sitePositions() []int {
	positions := make([]int, len(r.in.Current.Sites))
	for i, site := range r.in.Current.Sites {
		positions[i] = r.positionOf(site)
	}
	return positions
}

// toPositions maps the sites of a home's buckets from positions in a plan to positions in r.sites.
func toPositions(buckets, positions []int) []int {
	sites := make([]int, lovageyard.Buckets)
	for b := range sites {
		sites[b] = unplaced
		if b < len(buckets) && buckets[b] >= 0 && buckets[b] < len(positions) {
			sites[b] = positions[buckets[b]]
		}
	}
	return sites
}

func (r *round) isDraining(site string) bool {
	return slices.ContainsFunc(r.in.Orders, func(o lovageyard.SiteOrder) bool {
		return o.Site == site && o.Draining
	})
}

func (r *round) isTarget(site string) bool {
	sites := r.in.Class.Target.Sites
	return len(sites) == 0 || slices.Contains(sites, site)
}

// applyOrigins sets the previous sites of the buckets that the plan is moving.
func (r *round) applyOrigins(home int, origins []int) {
	for b, site := range origins {
		if site != unplaced {
			r.previous[home][b] = site
		}
	}
}

func (r *round) positionOf(site string) int {
	position, found := slices.BinarySearchFunc(r.sites, site, func(s Site, name string) int {
		return strings.Compare(s.Name, name)
	})
	if !found {
		return unplaced
	}
	return position
}

// computeAvailable computes the capacity that is left at each site. A bucket that is moving counts at
// both sites.
func (r *round) computeAvailable() {
	for i, s := range r.sites {
		r.available[i] = s.Capacity*(1-r.in.Headroom-staleMargin(s.Age)) - s.OtherLoad
		if s.Capacity == 0 {
			r.available[i] = 0
		}
	}
	for i, h := range r.in.Homes {
		for b, demand := range h.Buckets {
			r.reserve(r.current[i][b], demand)
			if r.isMoving(i, b) {
				r.reserve(r.previous[i][b], demand)
			}
		}
	}
}

func (r *round) reserve(site int, demand float64) {
	if site != unplaced {
		r.available[site] -= demand
	}
}

func (r *round) isMoving(home, bucket int) bool {
	return r.previous[home][bucket] != r.current[home][bucket]
}

// staleMargin returns the share of capacity that is reserved for a measurement of a given age.
func staleMargin(age time.Duration) float64 {
	if age <= FreshAge {
		return 0
	}
	return min(maxMargin, maxMargin*float64(age-FreshAge)/float64(StaleAge-FreshAge))
}

// canGain reports whether a site may receive a bucket with the given demand, in requests per second.
func (r *round) canGain(site int, demand float64) bool {
	return r.eligible[site] && r.sites[site].Age < StaleAge && r.available[site] >= demand
}

// sitesByLatency returns the sites ordered by their latency from a home, then by name.
func (r *round) sitesByLatency(h Home) []int {
	sites := make([]int, 0, len(r.sites))
	for _, near := range []func(s Site) bool{
		func(s Site) bool { return s.FailureDomain == h.FailureDomain },
		func(s Site) bool { return s.FailureDomain != h.FailureDomain && s.Region == h.Region },
		func(s Site) bool { return s.FailureDomain != h.FailureDomain && s.Region != h.Region },
	} {
		for i := range r.sites {
			if near(r.sites[i]) {
				sites = append(sites, i)
			}
		}
	}
	return sites
}

func (r *round) latency(h Home, site int) time.Duration {
	return r.in.Latencies.Between(h, r.sites[site])
}

// placeInitially returns the first plan, with every bucket at its initial site.
func (r *round) placeInitially() Output {
	if !slices.Contains(r.eligible, true) {
		return Output{Plan: r.in.Current, Reason: "no eligible site takes work"}
	}
	for i, h := range r.in.Homes {
		byLatency := r.sitesByLatency(h)
		r.desired[i] = make([]int, lovageyard.Buckets)
		for b := range r.desired[i] {
			r.desired[i][b] = r.initialSite(h, byLatency, b)
		}
		r.previous[i] = r.desired[i]
	}
	return Output{Plan: r.nextPlan(nil), Changed: true, Reason: "first placement"}
}

// initialSite returns the nearest eligible site with capacity left, or the nearest eligible one if
// there is none. Buckets are spread over sites of equal latency.
func (r *round) initialSite(h Home, byLatency []int, bucket int) int {
	demand := h.Buckets[bucket]
	ties := r.nearest(h, byLatency)
	site := ties[bucket%len(ties)]
	if r.available[site] < demand {
		if other := r.nearestAvailable(byLatency, demand); other != unplaced {
			site = other
		}
	}
	r.available[site] -= demand
	return site
}

// nearest returns the eligible sites with the lowest latency.
func (r *round) nearest(h Home, byLatency []int) []int {
	var ties []int
	for _, site := range byLatency {
		if !r.eligible[site] {
			continue
		}
		if len(ties) > 0 && r.latency(h, site) != r.latency(h, ties[0]) {
			break
		}
		ties = append(ties, site)
	}
	return ties
}

// nearestAvailable returns the nearest site that can gain a bucket with the given demand, or unplaced.
func (r *round) nearestAvailable(byLatency []int, demand float64) int {
	for _, site := range byLatency {
		if r.canGain(site, demand) {
			return site
		}
	}
	return unplaced
}

// computeDesired selects the desired site of each bucket. Buckets that have to leave their site come
// first, so that moves to nearer sites use only the capacity that is left.
func (r *round) computeDesired() {
	byLatency := make([][]int, len(r.in.Homes))
	for i, h := range r.in.Homes {
		r.desired[i] = slices.Clone(r.current[i])
		byLatency[i] = r.sitesByLatency(h)
	}
	r.eachBucket(func(i, b int) { r.moveOff(i, b, byLatency[i]) })
	r.eachBucket(func(i, b int) { r.moveNearer(i, b, byLatency[i]) })
}

func (r *round) eachBucket(visit func(home, bucket int)) {
	for i := range r.in.Homes {
		for _, b := range r.bucketOrder[i] {
			visit(i, b)
		}
	}
}

// byDemand returns the buckets of a home in descending order of demand.
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

// moveOff moves a bucket off a site that is not eligible or is over its limit. A bucket that is
// already moving is redirected only if its target is not eligible.
func (r *round) moveOff(home, bucket int, byLatency []int) {
	from := r.desired[home][bucket]
	if from != unplaced && r.eligible[from] && (r.available[from] >= 0 || r.isMoving(home, bucket)) {
		return
	}
	to := r.nearestAvailable(byLatency, r.in.Homes[home].Buckets[bucket])
	if to == unplaced {
		r.unplaceable++
		return
	}
	r.assign(home, bucket, to)
}

// moveNearer moves a bucket to a nearer site that has capacity left.
func (r *round) moveNearer(home, bucket int, byLatency []int) {
	from := r.desired[home][bucket]
	if from == unplaced || !r.eligible[from] || r.isMoving(home, bucket) {
		return
	}
	h := r.in.Homes[home]
	to := r.nearestAvailable(byLatency, h.Buckets[bucket])
	if to == unplaced || r.latency(h, from)-r.latency(h, to) < minLatencyGain {
		return
	}
	r.assign(home, bucket, to)
}

// assign sets the desired site of a bucket. The load still counts at the current site until the
// bucket has moved.
func (r *round) assign(home, bucket, to int) {
	r.available[to] -= r.in.Homes[home].Buckets[bucket]
	r.desired[home][bucket] = to
}
