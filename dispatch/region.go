package dispatch

import "slices"

// pickAny returns the server for a request that is not bound to an object, in the own region or in
// another. The share of requests that leaves the region changes slowly, so that no region sees a
// sudden shift of load.
func (t *Table) pickAny(r Request, s *service) (candidate, refusal) {
	local, remote := t.bestByRegion(r, s, t.estimate)
	best := t.chooseRegion(r, s, local, remote)
	if !best.isFound() {
		best = t.bestByOldReports(r, s)
	}
	switch {
	case best.isFound():
		return best, refusal{}
	case remote.isFound():
		return candidate{}, refusal{cause: CauseRegionFull, reason: "the region's servers are full, and others take no more at once"}
	}
	return candidate{}, refusedNoServer
}

// chooseRegion returns the best candidate of the own region or of the other regions.
func (t *Table) chooseRegion(r Request, s *service, local, remote candidate) candidate {
	if !t.hasLocal(r, s) || len(r.Tried) > 0 {
		return cheaper(local, remote)
	}
	if s.spillover == nil {
		s.spillover = t.initialSpillover(s)
	}
	s.spillover.update(remote.isFound() && (!local.isFound() || remote.cost < local.cost), t.settings.Shift, r.Now)
	if s.spillover.isRemote(t.random.Float64()) && remote.isFound() {
		return remote
	}
	return local
}

// bestByOldReports returns the best candidate if servers are considered full by old reports only, or
// none. It is in the own region if that has any servers.
func (t *Table) bestByOldReports(r Request, s *service) candidate {
	local, remote := t.bestByRegion(r, s, t.estimateByAge)
	if t.hasLocal(r, s) {
		return local
	}
	return cheaper(local, remote)
}

// estimator returns the expected cost of a request at a server, or none if the server is full.
type estimator func(r Request, s *service, b *server) candidate

// bestByRegion returns the best candidates in the own region and in the other regions, or none.
func (t *Table) bestByRegion(r Request, s *service, estimate estimator) (local, remote candidate) {
	for _, b := range s.servers {
		if !t.isEligible(r, s, b) {
			continue
		}
		c := estimate(r, s, b)
		switch {
		case !c.isFound():
		case c.local:
			local = cheaper(local, c.selected(RuleLeastCost, "least expected time"))
		default:
			remote = cheaper(remote, c.selected(RuleLeastCost, "least expected time, in another region"))
		}
	}
	return local, remote
}

// initialSpillover returns the initial share of a service's requests that leave the region.
func (t *Table) initialSpillover(s *service) *spillover {
	local, all := t.slotsOf(s)
	first := initialSpillover(local, all, t.settings.DemandShare)
	return &first
}

// slotsOf returns the slots of a service's servers that may get requests: of those in the own region,
// and of all.
func (t *Table) slotsOf(s *service) (local, all int) {
	for _, b := range s.servers {
		if !b.isAvailable() || t.drained[b.FailureDomain] {
			continue
		}
		all += b.slots
		if b.Region == t.settings.Region {
			local += b.slots
		}
	}
	return local, all
}

// hasLocal reports whether the own region has any server that may get the request. Servers that
// have failed and not answered since do not count.
func (t *Table) hasLocal(r Request, s *service) bool {
	return slices.ContainsFunc(s.servers, func(b *server) bool {
		return b.Region == t.settings.Region && b.isAvailable() && b.consecutiveFailures == 0 && b.record.Allows(r.Now) &&
			!t.drained[b.FailureDomain] &&
			(len(r.Regions) == 0 || slices.Contains(r.Regions, b.Region))
	})
}
