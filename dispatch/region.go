package dispatch

import "slices"

// pickAny returns the server for a request that concerns no object: of the own region or of the
// others, where the share that leaves the region changes slowly, so that no region sees a
// sudden shift.
func (t *Table) pickAny(r Request, s *service) (*candidate, refusal) {
	local, remote := t.rate(r, s)
	best := t.between(r, s, local, remote)
	switch {
	case best != nil:
		return best, refusal{}
	case remote != nil:
		return nil, refusal{cause: CauseRegionFull, reason: "the region's servers are full, and others take no more at once"}
	}
	return nil, noServer
}

// between picks one of the best candidates of the own region and of the others.
func (t *Table) between(r Request, s *service, local, remote *candidate) *candidate {
	if !t.hasLocal(r, s) || len(r.Tried) > 0 {
		return better(local, remote)
	}
	if s.spill == nil {
		s.spill = t.firstSpill(s)
	}
	s.spill.wish(remote != nil && (local == nil || remote.cost < local.cost), t.settings.Shift, r.Now)
	if s.spill.leaves(t.random.Float64()) && remote != nil {
		return remote
	}
	return local
}

// rate returns the best candidate of the own region and of the others, or nil.
func (t *Table) rate(r Request, s *service) (local, remote *candidate) {
	for _, one := range s.servers {
		if !t.isEligible(r, s, one) {
			continue
		}
		c := t.estimate(r, s, one)
		switch {
		case c == nil:
		case c.local:
			c.reason = "least expected time"
			local = better(local, c)
		default:
			c.reason = "least expected time, in another region"
			remote = better(remote, c)
		}
	}
	return local, remote
}

// firstSpill returns the share of a service's work that leaves the region to begin with.
func (t *Table) firstSpill(s *service) *spill {
	here, all := 0, 0
	for _, one := range s.servers {
		if !one.takesWork() || t.drained[one.FailureDomain] {
			continue
		}
		all += one.slots
		if one.Region == t.settings.Region {
			here += one.slots
		}
	}
	first := firstSpill(here, all, t.settings.DemandShare)
	return &first
}

// hasLocal says whether the own region has any server that may get the request.
func (t *Table) hasLocal(r Request, s *service) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool {
		return one.Region == t.settings.Region && one.takesWork() && one.strikes == 0 && one.record.Allows(r.Now) &&
			!t.drained[one.FailureDomain] &&
			(len(r.Regions) == 0 || slices.Contains(r.Regions, one.Region))
	})
}
