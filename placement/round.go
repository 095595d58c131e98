package placement

import (
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
)

// Rules of placement.
const (
	// FreshAge is the age up to which a measurement is taken at its word.
	FreshAge = 12 * time.Second
	// StaleAge is the age from which on a site gains no work.
	StaleAge = 30 * time.Second
	// maxMargin is the share of capacity held back from a site whose measurement is about to be stale.
	maxMargin = 0.2
	// gainNeeded is the latency that a voluntary move has to save.
	gainNeeded = 2 * time.Millisecond
	// unplaced marks a bucket without a site.
	unplaced = -1
)

// Round makes one round of placement for one class. The plan may run ahead of what the
// entry instances apply: each of them paces its own work by the cap.
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
	return r.conclude()
}

// round is the state of one round; sites are meant by their position in sites.
type round struct {
	in       Input
	sites    []Site
	eligible []bool
	room     []float64
	// current is the plan in force, from is where its buckets' work may still be, and
	// desired is the placement that the round arrives at: by home, then by bucket.
	current [][]int
	from    [][]int
	desired [][]int
	order   [][]int
	held    int
}

func newRound(in Input) *round {
	r := &round{in: in, sites: slices.Clone(in.Sites)}
	slices.SortFunc(r.sites, func(a, b Site) int { return strings.Compare(a.Name, b.Name) })
	r.eligible = make([]bool, len(r.sites))
	r.room = make([]float64, len(r.sites))
	for i, s := range r.sites {
		r.eligible[i] = s.Alive && r.targets(s.Name) && !r.isDraining(s.Name)
	}
	r.current = make([][]int, len(in.Homes))
	r.from = make([][]int, len(in.Homes))
	r.desired = make([][]int, len(in.Homes))
	r.order = make([][]int, len(in.Homes))
	known := r.translation()
	for i, h := range in.Homes {
		placed := in.Current.Home(h.FailureDomain)
		if placed == nil {
			placed = &lovageyard.HomePlacement{}
		}
		r.current[i] = translate(placed.Buckets, known)
		r.from[i] = slices.Clone(r.current[i])
		if in.AppliedStep < in.Current.Step {
			r.markOrigins(i, translate(placed.From, known))
		}
		r.order[i] = byDemand(h)
	}
	return r
}

// translation returns, for each site of the current plan, its position in r.sites.
func (r *round) translation() []int {
	known := make([]int, len(r.in.Current.Sites))
	for i, site := range r.in.Current.Sites {
		known[i] = r.position(site)
	}
	return known
}

// translate returns the sites of a home's buckets as positions in r.sites.
func translate(buckets, known []int) []int {
	sites := make([]int, lovageyard.Buckets)
	for b := range sites {
		sites[b] = unplaced
		if b < len(buckets) && buckets[b] >= 0 && buckets[b] < len(known) {
			sites[b] = known[buckets[b]]
		}
	}
	return sites
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

func (r *round) markOrigins(home int, origins []int) {
	for b, site := range origins {
		if site != unplaced {
			r.from[home][b] = site
		}
	}
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

// load works out the room of each site: what it may carry, less what it carries. Work
// that is under way counts at both ends.
func (r *round) load() {
	for i, s := range r.sites {
		r.room[i] = s.Capacity*(1-r.in.Headroom-margin(s.Age)) - s.OtherLoad
		if s.Capacity == 0 {
			r.room[i] = 0
		}
	}
	for i, h := range r.in.Homes {
		for b, demand := range h.Buckets {
			r.take(r.current[i][b], demand)
			if r.inFlight(i, b) {
				r.take(r.from[i][b], demand)
			}
		}
	}
}

func (r *round) take(site int, demand float64) {
	if site != unplaced {
		r.room[site] -= demand
	}
}

func (r *round) inFlight(home, bucket int) bool {
	return r.from[home][bucket] != r.current[home][bucket]
}

// margin returns the share of capacity held back for the age of a measurement.
func margin(age time.Duration) float64 {
	if age <= FreshAge {
		return 0
	}
	return min(maxMargin, maxMargin*float64(age-FreshAge)/float64(StaleAge-FreshAge))
}

// gains says whether a site may be given work that brings so much demand.
func (r *round) gains(site int, demand float64) bool {
	return r.eligible[site] && r.sites[site].Age < StaleAge && r.room[site] >= demand
}

// ranked returns the sites in the order of their latency from a home, by name among equals.
func (r *round) ranked(h Home) []int {
	ranks := make([]int, 0, len(r.sites))
	for _, near := range []func(s Site) bool{
		func(s Site) bool { return s.FailureDomain == h.FailureDomain },
		func(s Site) bool { return s.FailureDomain != h.FailureDomain && s.Region == h.Region },
		func(s Site) bool { return s.FailureDomain != h.FailureDomain && s.Region != h.Region },
	} {
		for i := range r.sites {
			if near(r.sites[i]) {
				ranks = append(ranks, i)
			}
		}
	}
	return ranks
}

func (r *round) latency(h Home, site int) time.Duration {
	return r.in.Latencies.Between(h, r.sites[site])
}

// first places every bucket where the least latency and the capacity put it.
func (r *round) first() Output {
	if !slices.Contains(r.eligible, true) {
		return Output{Plan: r.in.Current, Reason: "no eligible site takes work"}
	}
	for i, h := range r.in.Homes {
		ranks := r.ranked(h)
		r.desired[i] = make([]int, lovageyard.Buckets)
		for b := range r.desired[i] {
			r.desired[i][b] = r.initial(h, ranks, b)
		}
		r.from[i] = r.desired[i]
	}
	return Output{Plan: r.plan(nil), Changed: true, Reason: "first placement"}
}

// initial returns the nearest eligible site with room, or the nearest eligible one;
// among sites of equal latency the bucket's number decides.
func (r *round) initial(h Home, ranks []int, bucket int) int {
	demand := h.Buckets[bucket]
	ties := r.nearest(h, ranks)
	site := ties[bucket%len(ties)]
	if r.room[site] < demand {
		if other := r.withRoom(ranks, demand); other != unplaced {
			site = other
		}
	}
	r.room[site] -= demand
	return site
}

// nearest returns the eligible sites of the least latency.
func (r *round) nearest(h Home, ranks []int) []int {
	var ties []int
	for _, site := range ranks {
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

func (r *round) withRoom(ranks []int, demand float64) int {
	for _, site := range ranks {
		if r.gains(site, demand) {
			return site
		}
	}
	return unplaced
}

// desire works out the placement that the round arrives at.
func (r *round) desire() {
	ranks := make([][]int, len(r.in.Homes))
	for i, h := range r.in.Homes {
		r.desired[i] = slices.Clone(r.current[i])
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

// byDemand returns the buckets of a home, those of the largest demand first.
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
// Work that is under way is turned elsewhere only if its site may not have it at all.
func (r *round) leave(home, bucket int, ranks []int) {
	from := r.desired[home][bucket]
	if from != unplaced && r.eligible[from] && (r.room[from] >= 0 || r.inFlight(home, bucket)) {
		return
	}
	to := r.withRoom(ranks, r.in.Homes[home].Buckets[bucket])
	if to == unplaced {
		r.held++
		return
	}
	r.shift(home, bucket, to)
}

// improve moves a bucket to a nearer site that has room.
func (r *round) improve(home, bucket int, ranks []int) {
	from := r.desired[home][bucket]
	if from == unplaced || !r.eligible[from] || r.inFlight(home, bucket) {
		return
	}
	h := r.in.Homes[home]
	to := r.withRoom(ranks, h.Buckets[bucket])
	if to == unplaced || r.latency(h, from)-r.latency(h, to) < gainNeeded {
		return
	}
	r.shift(home, bucket, to)
}

// shift gives a bucket to another site; its present site keeps its load until the work
// has moved.
func (r *round) shift(home, bucket, to int) {
	r.room[to] -= r.in.Homes[home].Buckets[bucket]
	r.desired[home][bucket] = to
}
