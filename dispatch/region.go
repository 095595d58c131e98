package dispatch

import (
	"slices"

	"lovageyard.example/lovageyard/instance"
)

// pick decides between the own region and the others; the share that leaves the region
// changes slowly, so that no region sees a sudden shift.
func (t *Table) pick(r Request, s *service, object uint64, local, remote *candidate) *candidate {
	if !t.hasLocal(r, s) || len(r.Tried) > 0 {
		return better(local, remote)
	}
	if s.spill == nil {
		s.spill = t.firstSpill(s)
	}
	s.spill.wish(remote != nil && (local == nil || remote.cost < local.cost), t.settings.Shift, r.Now)
	position := t.random.Float64()
	if object != 0 {
		position = float64(instance.Mix(object)>>11) / (1 << 53)
	}
	if s.spill.leaves(position) && remote != nil {
		return remote
	}
	return local
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
	first := firstSpill(here, all, t.settings.Demand)
	return &first
}

// hasLocal says whether the own region has any server that may get the request.
func (t *Table) hasLocal(r Request, s *service) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool {
		return one.Region == t.settings.Region && one.takesWork() && one.strikes == 0 &&
			!t.drained[one.FailureDomain] &&
			(len(r.Route.HomeRegions) == 0 || slices.Contains(r.Route.HomeRegions, one.Region))
	})
}
