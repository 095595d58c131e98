package grant

import (
	"slices"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
)

// ServiceLoad is the capacity and the present load of one service at a site.
type ServiceLoad struct {
	Service string
	Site    string
	// Capacity and Load are in requests per second.
	Capacity float64
	Load     float64
	// Measured means that the load was measured recently; without that no capacity is considered
	// spare.
	Measured bool
}

// Divide returns equal grants for the holders, whose sum is at most the spare capacity of each
// service and site.
func Divide(loads []ServiceLoad, holders []string) lovageyard.GrantPlan {
	p := lovageyard.GrantPlan{Holders: slices.Clone(holders)}
	slices.Sort(p.Holders)
	if len(holders) == 0 {
		return p
	}
	for _, s := range loads {
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

// Rate returns the rate in requests per second that a holder may send to a service at a site, or 0
// if it has no grant.
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

// Differs reports whether two plans have different holders, or grants that differ by more than a
// relative tolerance. It tells whether a new plan is worth publishing.
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

// ShareOf returns the share of a rate, in requests per second, that one of several instances may
// use. The rate is divided among the first few instances in the order of a key, on which all agree.
// Their number is limited so that no share is far below one request per second, as smaller shares
// would accumulate and be spent by many instances in the same second. The other instances get 0.
func ShareOf(rate float64, names []string, key, self string) float64 {
	count := min(len(names), 1+int(min(rate, float64(len(names)))))
	if position := instance.RendezvousRank(names, key, self); position < 0 || position >= count {
		return 0
	}
	return rate / float64(count)
}
