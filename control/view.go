package control

import (
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
)

// view aggregates the reports on demand and sites for a planning round.
type view struct {
	control      *Control
	now          time.Time
	demand       map[string]*demandSum
	observations map[poolKey][]siteObservation
	domains      []string
}

// siteObservation is one failure domain's report on one service of a site.
type siteObservation struct {
	failureDomain string
	at            time.Time
	report        *wire.SiteReport
}

func (c *Control) view(now time.Time) *view {
	v := &view{
		control:      c,
		now:          now,
		demand:       make(map[string]*demandSum),
		observations: make(map[poolKey][]siteObservation),
	}
	for _, r := range c.reports {
		if !r.report.GetMerged() || now.Sub(r.at) > placement.StaleAge {
			continue
		}
		v.addReport(r)
	}
	v.domains = c.failureDomains()
	return v
}

func (v *view) addReport(r *report) {
	for _, d := range r.report.GetClasses() {
		if v.demand[d.GetClass()] == nil {
			v.demand[d.GetClass()] = newDemandSum()
		}
		v.demand[d.GetClass()].add(d)
	}
	for _, s := range r.report.GetSites() {
		k := poolKey{service: s.GetService(), site: s.GetSite()}
		v.observations[k] = append(v.observations[k], siteObservation{failureDomain: r.report.GetFailureDomain(), at: r.at, report: s})
	}
}

// failureDomains returns the failure domains that have instances or servers, sorted.
func (c *Control) failureDomains() []string {
	var names []string
	for _, m := range c.members.Live() {
		names = append(names, m.FailureDomain)
	}
	for _, p := range c.pools {
		names = append(names, p.failureDomain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (v *view) homes(class string) []placement.Home {
	members := v.control.members.Live()
	homes := make([]placement.Home, 0, len(v.domains))
	sum := v.demand[class]
	for _, name := range v.domains {
		h := placement.Home{FailureDomain: name, Region: v.control.regionOf(name, members)}
		if sum != nil && sum.homes[name] != nil {
			h.Buckets = *sum.homes[name]
		}
		homes = append(homes, h)
	}
	return homes
}

// sites returns the known state of a class's service at each site.
func (v *view) sites(k lovageyard.Class) []placement.Site {
	var sites []placement.Site
	typical := v.meanServiceTime(k.Service)
	for _, key := range v.control.sortedPools() {
		if key.service != k.Service {
			continue
		}
		p := v.control.pools[key]
		s := placement.Site{
			Name:          key.site,
			FailureDomain: p.failureDomain,
			Region:        p.region,
			Alive:         v.alive(key, p),
			Age:           v.reportAge(key),
			OtherLoad:     v.otherLoad(k, key.site),
		}
		if serviceTime := v.serviceTime(key, typical); serviceTime > 0 {
			s.Capacity = float64(v.slots(key, p)) / serviceTime
		}
		sites = append(sites, s)
	}
	return sites
}

// slots returns the number of slots of a pool's servers that are live and not marked as leaving.
func (v *view) slots(k poolKey, p *pool) int {
	slots := 0
	for _, b := range p.servers {
		mark := v.control.marks[poolServer{poolKey: k, server: b.Name}]
		if b.State == lovageyard.StateLive && mark != lovageyard.StateLeaving {
			slots += b.Slots
		}
	}
	return slots
}

// serviceTime returns a pool's service time of a request in seconds: the longest reported mean,
// or typical if there is none.
func (v *view) serviceTime(k poolKey, typical float64) float64 {
	slowest := 0.0
	for _, s := range v.observations[k] {
		slowest = max(slowest, s.report.GetMeanSeconds())
	}
	if slowest == 0 {
		return typical
	}
	return slowest
}

func (v *view) meanServiceTime(service string) float64 {
	sum, count := 0.0, 0.0
	for k, seen := range v.observations {
		if k.service != service {
			continue
		}
		for _, s := range seen {
			if s.report.GetMeanSeconds() > 0 {
				sum += s.report.GetMeanSeconds()
				count++
			}
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// alive reports whether a pool is considered alive. A recent report of the site's own failure
// domain decides. Without one, the pool is alive if it has servers and no majority of the recent
// reports contradicts.
func (v *view) alive(k poolKey, p *pool) bool {
	votes := 0
	for _, s := range v.observations[k] {
		if v.now.Sub(s.at) > reportMaxAge {
			continue
		}
		if s.failureDomain == p.failureDomain {
			return s.report.GetAlive()
		}
		if s.report.GetAlive() {
			votes++
		} else {
			votes--
		}
	}
	return votes >= 0 && len(p.servers) > 0
}

func (v *view) reportAge(k poolKey) time.Duration {
	age := placement.StaleAge
	for _, s := range v.observations[k] {
		age = min(age, v.now.Sub(s.at))
	}
	return age
}

// otherLoad returns the planned load of the service's other classes at a site.
func (v *view) otherLoad(k lovageyard.Class, site string) float64 {
	load := 0.0
	for _, other := range v.control.index.All() {
		if other.Service == k.Service && other.Name != k.Name {
			load += v.plannedLoad(other.Name, site)
		}
	}
	return load
}

// plannedLoad returns the demand for a class that its plan assigns to a site.
func (v *view) plannedLoad(class, site string) float64 {
	cs := v.control.classes[class]
	sum := v.demand[class]
	if cs == nil || sum == nil {
		return 0
	}
	load := 0.0
	for home, buckets := range sum.homes {
		for b, rate := range buckets {
			if cs.plan.SiteOf(home, b) == site {
				load += rate
			}
		}
	}
	return load
}
