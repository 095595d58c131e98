package control

import (
	"encoding/json"
	"slices"

	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/route"
)

func (c *Control) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.settings.Metrics)
}

// publish builds a new snapshot and makes it the current one.
func (c *Control) publish() {
	c.dirty = false
	s := &route.Snapshot{
		Version:     c.config.Version(),
		DefaultHome: c.self.FailureDomain,
		LookUpTTL:   c.settings.LookUpTTL,
		Leaving:     c.self.State != lovageyard.StateLive,
		Classes:     c.index,
		Blocks:      c.blocks,
		Directory:   instance.NewDirectory(c.members.Live()),
	}
	for _, k := range c.index.All() {
		cs := c.classes[k.Name]
		if cs == nil {
			continue
		}
		s.ClassRoutes = append(s.ClassRoutes, c.classRoute(cs))
	}
	c.snapshot.Store(s)
}

func (c *Control) classRoute(cs *classState) route.ClassRoute {
	r := route.ClassRoute{
		Class:           cs.class,
		Step:            cs.plan.Step,
		Limiter:         cs.stepper.Limiter(),
		FailoverLimiter: cs.failoverLimiter,
		RetryBudget:     cs.budget,
		HomeCounts:      cs.counts,
	}
	if cs.stepper.Initialized() {
		r.Homes = cs.appliedHomes()
	}
	for _, k := range c.sortedPools() {
		if k.service != cs.class.Service {
			continue
		}
		p := c.pools[k]
		r.Sites = append(r.Sites, route.Site{
			Name:      k.site,
			Pool:      p.Pool,
			Allowance: p.allowance,
			Local:     p.failureDomain == c.self.FailureDomain,
		})
	}
	slices.SortStableFunc(r.Sites, func(a, b route.Site) int {
		return c.distance(keyOf(cs, a)) - c.distance(keyOf(cs, b))
	})
	return r
}

func keyOf(cs *classState, s route.Site) poolKey {
	return poolKey{service: cs.class.Service, site: s.Name}
}

// appliedHomes returns a copy of the applied placement. The copy is reused until the stepper
// changes the placement.
func (cs *classState) appliedHomes() []move.Home {
	if generation := cs.stepper.Generation(); cs.homes == nil || cs.generation != generation {
		cs.homes = cs.stepper.Applied().Homes
		cs.generation = generation
	}
	return cs.homes
}

// distance ranks a pool: 0 in this instance's failure domain, 1 in its region, 2 elsewhere.
func (c *Control) distance(k poolKey) int {
	p := c.pools[k]
	switch {
	case p.failureDomain == c.self.FailureDomain:
		return 0
	case p.region == c.self.Region:
		return 1
	}
	return 2
}

// grants returns the grants of a service, or the zero GrantPlan if there are none.
func (c *Control) grants(service string) lovageyard.GrantPlan {
	var p lovageyard.GrantPlan
	row, found := c.config.Row(lovageyard.TableGrants, service)
	if found {
		_ = json.Unmarshal(row.Value, &p)
	}
	return p
}
