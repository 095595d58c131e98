package dispatch

import "lovageyard.example/lovageyard"

// splitter gives a route's requests to its parts in the proportion of their weights, by
// smooth weighted turns, so that each short run of requests is close to the proportion.
type splitter struct {
	credit map[string]float64
}

// next returns the service of the next request.
func (s *splitter) next(parts []lovageyard.ServiceWeight) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	if s.credit == nil {
		s.credit = make(map[string]float64)
	}
	total := 0.0
	best := -1
	for i, p := range parts {
		total += p.Weight
		s.credit[p.Service] += p.Weight
		if best < 0 || s.credit[p.Service] > s.credit[parts[best].Service] {
			best = i
		}
	}
	s.credit[parts[best].Service] -= total
	return parts[best].Service
}
