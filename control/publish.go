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

// publish builds the snapshot anew and puts it in force.
func (c *Control) publish() {
	c.dirty = false
	s := &route.Snapshot{
		Version:     c.config.Version(),
		DefaultHome: c.self.FailureDomain,
		LookUpTTL:   c.settings.KeepFor,
		Leaving:     c.self.State != lovageyard.StateLive,
		Classes:     c.index,
		Blocks:      c.blocks,
		Directory:   instance.NewDirectory(c.members.Live()),
	}
	for _, k := range c.index.All() {
		w := c.works[k.Name]
		if w == nil {
			continue
		}
		s.ClassRoutes = append(s.ClassRoutes, c.routeWork(w))
	}
	c.snapshot.Store(s)
}

func (c *Control) routeWork(w *work) route.ClassRoute {
	r := route.ClassRoute{
		Class:           w.class,
		Step:            w.plan.Step,
		Limiter:         w.stepper.Limiter(),
		FailoverLimiter: w.forced,
		RetryBudget:     w.budget,
		HomeCounts:      w.counts,
	}
	if w.stepper.Initialized() {
		r.Homes = w.published()
	}
	for _, k := range c.sortedPools() {
		if k.service != w.class.Service {
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
		return c.distance(keyOf(w, a)) - c.distance(keyOf(w, b))
	})
	return r
}

func keyOf(w *work, s route.Site) poolKey {
	return poolKey{service: w.class.Service, site: s.Name}
}

// published returns a copy of the applied placement that is made anew only when the
// stepper has changed it.
func (w *work) published() []move.Home {
	if generation := w.stepper.Generation(); w.homes == nil || w.generation != generation {
		w.homes = w.stepper.Applied().Homes
		w.generation = generation
	}
	return w.homes
}

// distance ranks a pool: 0 in the own failure domain, 1 in the own region, else 2.
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

// grants returns the grants of a service.
func (c *Control) grants(service string) lovageyard.GrantPlan {
	var p lovageyard.GrantPlan
	row, found := c.config.Row(lovageyard.TableGrants, service)
	if found {
		_ = json.Unmarshal(row.Value, &p)
	}
	return p
}
