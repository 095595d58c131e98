package dispatch

import (
	"math"

	"lovageyard.example/lovageyard/instance"
)

// ranking holds a service's servers of one region, which are ranked for each object. The hashes are those of the
// servers' names; they are kept beside each other, as most servers are read only to find that they rank lower.
type ranking struct {
	region  string
	servers []*server
	hashes  []uint64
}

// updateRankings updates the rankings to the service's servers.
func (s *service) updateRankings() {
	s.rankings = nil
	for _, b := range s.servers {
		k := s.rankingOf(b.Region)
		if k == nil {
			s.rankings = append(s.rankings, ranking{region: b.Region})
			k = &s.rankings[len(s.rankings)-1]
		}
		k.servers = append(k.servers, b)
		k.hashes = append(k.hashes, b.hash)
	}
}

// rankingOf returns the ranking of a region, or nil if the service has no servers there.
func (s *service) rankingOf(region string) *ranking {
	for i := range s.rankings {
		if s.rankings[i].region == region {
			return &s.rankings[i]
		}
	}
	return nil
}

// filter reports whether a server may be considered for a request.
type filter func(r Request, s *service, b *server) bool

// ranked is a server with its rendezvous score for an object.
type ranked struct {
	server *server
	score  uint64
}

// top returns the higher of best and the highest ranked server for the object among those that the filter admits,
// other than the excluded homes.
func (k *ranking) top(r Request, s *service, object uint64, excluded homes, admits filter, best ranked) ranked {
	for i, hash := range k.hashes {
		score := instance.MixHash(object ^ hash)
		if best.server != nil && score <= best.score {
			continue
		}
		if b := k.servers[i]; !excluded.contains(b) && admits(r, s, b) {
			best = ranked{server: b, score: score}
		}
	}
	return best
}

// unitScore returns the score scaled to the range 0 to 1.
func (b ranked) unitScore() float64 {
	return float64(b.score>>11) / (1 << 53)
}

// highestRanked returns the highest ranked server for the object among those that the filter admits, as seen
// from this region, other than the excluded homes.
func (t *Table) highestRanked(r Request, s *service, object uint64, excluded homes, admits filter) *server {
	var local, remote ranked
	for i := range s.rankings {
		k := &s.rankings[i]
		if k.region == t.settings.Region {
			local = k.top(r, s, object, excluded, admits, local)
		} else {
			remote = k.top(r, s, object, excluded, admits, remote)
		}
	}
	switch {
	case local.server == nil:
		return remote.server
	case remote.server == nil:
		return local.server
	}
	if math.Pow(local.unitScore(), 1/t.ownRegionWeightFor(r, s)) < remote.unitScore() {
		return remote.server
	}
	if r.Route.HasLargeBodies() {
		return t.highestNearby(r, s, object, excluded, admits)
	}
	return local.server
}

// highestInRegion returns the highest ranked server for the object among those of a region that the filter admits,
// other than the excluded homes.
func (t *Table) highestInRegion(r Request, s *service, object uint64, region string, excluded homes, admits filter) *server {
	k := s.rankingOf(region)
	if k == nil {
		return nil
	}
	return k.top(r, s, object, excluded, admits, ranked{}).server
}
