package control

import (
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
)

// view is what the planner knows of demand and sites.
type view struct {
	control *Control
	now     time.Time
	demand  map[string]*demandSum
	seen    map[poolKey][]siteSeen
	domains []string
}

// siteSeen is one failure domain's word on one service of a site.
type siteSeen struct {
	failureDomain string
	at            time.Time
	report        *wire.SiteReport
}

func (c *Control) view(now time.Time) *view {
	v := &view{
		control: c,
		now:     now,
		demand:  make(map[string]*demandSum),
		seen:    make(map[poolKey][]siteSeen),
	}
	for _, r := range c.reports {
		if !r.report.GetMerged() || now.Sub(r.at) > placement.StaleAge {
			continue
		}
		v.add(r)
	}
	v.domains = c.failureDomains()
	return v
}

func (v *view) add(r *report) {
	for _, d := range r.report.GetClasses() {
		if v.demand[d.GetClass()] == nil {
			v.demand[d.GetClass()] = newDemandSum()
		}
		v.demand[d.GetClass()].add(d)
	}
	for _, s := range r.report.GetSites() {
		k := poolKey{service: s.GetService(), site: s.GetSite()}
		v.seen[k] = append(v.seen[k], siteSeen{failureDomain: r.report.GetFailureDomain(), at: r.at, report: s})
	}
}

// failureDomains returns all failure domains that have instances or servers.
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

// sites returns what is known of a class's service at each site.
func (v *view) sites(k lovageyard.Class) []placement.Site {
	var sites []placement.Site
	typical := v.typicalService(k.Service)
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
			Age:           v.age(key),
			OtherLoad:     v.otherLoad(k, key.site),
		}
		if service := v.service(key, typical); service > 0 {
			s.Capacity = float64(v.slots(key, p)) / service
		}
		sites = append(sites, s)
	}
	return sites
}

// slots counts the slots of a pool's servers that are live and not marked as leaving.
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

// service returns the time in seconds that a pool's servers spend on a request.
func (v *view) service(k poolKey, typical float64) float64 {
	slowest := 0.0
	for _, s := range v.seen[k] {
		slowest = max(slowest, s.report.GetMeanSeconds())
	}
	if slowest == 0 {
		return typical
	}
	return slowest
}

func (v *view) typicalService(service string) float64 {
	sum, count := 0.0, 0.0
	for k, seen := range v.seen {
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

// alive believes the site's own failure domain first, and else the majority.
func (v *view) alive(k poolKey, p *pool) bool {
	votes := 0
	for _, s := range v.seen[k] {
		if v.now.Sub(s.at) > reportFor {
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

func (v *view) age(k poolKey) time.Duration {
	age := placement.StaleAge
	for _, s := range v.seen[k] {
		age = min(age, v.now.Sub(s.at))
	}
	return age
}

// otherLoad returns the load that the other classes of the same service put on a site.
func (v *view) otherLoad(k lovageyard.Class, site string) float64 {
	load := 0.0
	for _, other := range v.control.index.All() {
		if other.Service == k.Service && other.Name != k.Name {
			load += v.planned(other.Name, site)
		}
	}
	return load
}

// planned returns the demand of a class that its plan gives to a site.
func (v *view) planned(class, site string) float64 {
	w := v.control.works[class]
	sum := v.demand[class]
	if w == nil || sum == nil {
		return 0
	}
	load := 0.0
	for home, buckets := range sum.homes {
		for b, rate := range buckets {
			if w.plan.SiteOf(home, b) == site {
				load += rate
			}
		}
	}
	return load
}
