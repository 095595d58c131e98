package dispatch

import "lovageyard.example/lovageyard"

// weightedSplitter distributes a route's requests over its parts in proportion to their weights by
// smooth weighted round robin, so that every short sequence of requests is close to the proportion.
type weightedSplitter struct {
	currentWeights map[string]float64
}

// next returns the service of the next request.
func (s *weightedSplitter) next(parts []lovageyard.ServiceWeight) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if s.currentWeights == nil {
		s.currentWeights = make(map[string]float64)
	}
	total := 0.0
	best := -1
	for i, p := range parts {
		total += p.Weight
		s.currentWeights[p.Service] += p.Weight
		if best < 0 || s.currentWeights[p.Service] > s.currentWeights[parts[best].Service] {
			best = i
		}
	}
	s.currentWeights[parts[best].Service] -= total
	return parts[best].Service
}
