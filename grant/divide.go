package grant

import (
	"slices"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
)

// ServiceLoad is what one service of a site can carry beyond its present load.
type ServiceLoad struct {
	Service string
	Site    string
	// Capacity and Load are in requests a second.
	Capacity float64
	Load     float64
	// Measured says that the load was measured recently; an unknown one spares nothing.
	Measured bool
}

// Divide returns equal grants for the holders, whose sum is at most the spare capacity.
func Divide(spares []ServiceLoad, holders []string) lovageyard.GrantPlan {
	p := lovageyard.GrantPlan{Holders: slices.Clone(holders)}
	slices.Sort(p.Holders)
	if len(holders) == 0 {
		return p
	}
	for _, s := range spares {
		spare := s.Capacity - s.Load
		if !s.Measured || spare <= 0 {
			continue
		}
		p.Grants = append(p.Grants, lovageyard.Grant{
			Service: s.Service,
			Site:    s.Site,
			Rate:    spare / float64(len(holders)),
		})
	}
	return p
}

// Rate returns what a holder may send to a service of a site, in requests a second.
func Rate(p lovageyard.GrantPlan, holder, service, site string) float64 {
	if _, found := slices.BinarySearch(p.Holders, holder); !found {
		return 0
	}
	for _, g := range p.Grants {
		if g.Service == service && g.Site == site {
			return g.Rate
		}
	}
	return 0
}

// Differs says whether two plans have other holders or grants that differ by more than
// a relative tolerance.
func Differs(a, b lovageyard.GrantPlan, tolerance float64) bool {
	if !slices.Equal(a.Holders, b.Holders) || len(a.Grants) != len(b.Grants) {
		return true
	}
	for i, g := range a.Grants {
		h := b.Grants[i]
		if g.Service != h.Service || g.Site != h.Site {
			return true
		}
		if difference := g.Rate - h.Rate; max(difference, -difference) > tolerance*max(g.Rate, h.Rate) {
			return true
		}
	}
	return false
}

// ShareOf returns what one of those who share a rate by a key may send, in requests a second. The rate is divided
// among a few holders, on which all agree: no holder's part is far below one request a second, as smaller parts would be
// saved up and spent by many in the same second. Who is no holder gets nothing.
func ShareOf(rate float64, names []string, key, self string) float64 {
	count := min(len(names), 1+int(min(rate, float64(len(names)))))
	if place := instance.RendezvousRank(names, key, self); place < 0 || place >= count {
		return 0
	}
	return rate / float64(count)
}
