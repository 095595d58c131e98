package control

import (
	"context"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
)

// Rules for reports of demand.
const (
	// reportFor is the age up to which a report counts.
	reportFor = 15 * time.Second
	// reportForget is the age at which a report is dropped.
	reportForget = time.Minute
)

// report is the newest report of one instance or relay.
type report struct {
	at     time.Time
	report *wire.DemandReport
}

// sendReport sends this instance's measured demand to the relay of its failure domain,
// or, as the relay, the demand of the whole failure domain to the planners.
func (c *Control) sendReport(now time.Time) {
	own := c.ownReport(now)
	relays := c.relays()
	if len(relays) > 0 && relays[0] != c.self.Name {
		c.report(c.peerAddress(relays[0]), own)
		return
	}
	c.keepReport(own, now)
	merged := c.mergeReports(now)
	c.keepReport(merged, now)
	for name, services := range c.plannersByName() {
		if name != c.self.Name {
			c.report(c.peerAddress(name), forServices(merged, services, c.index))
		}
	}
}

// plannersByName returns the services that each candidate may plan.
func (c *Control) plannersByName() map[string][]string {
	byName := make(map[string][]string)
	for _, service := range c.services() {
		for _, name := range c.candidatesFor(service) {
			byName[name] = append(byName[name], service)
		}
	}
	return byName
}

// forServices returns the part of a merged report that concerns some services.
func forServices(merged *wire.DemandReport, services []string, index *class.Index) *wire.DemandReport {
	part := &wire.DemandReport{FailureDomain: merged.GetFailureDomain(), Reporter: merged.GetReporter(), Merged: true}
	concerns := func(name string) bool {
		k := index.ByName(name)
		return k != nil && slices.Contains(services, k.Service)
	}
	for _, d := range merged.GetClasses() {
		if concerns(d.GetClass()) {
			part.Classes = append(part.Classes, d)
		}
	}
	for _, s := range merged.GetSettled() {
		if concerns(s.GetClass()) {
			part.Settled = append(part.Settled, s)
		}
	}
	for _, s := range merged.GetSites() {
		if slices.Contains(services, s.GetService()) {
			part.Sites = append(part.Sites, s)
		}
	}
	return part
}

func (c *Control) report(address string, r *wire.DemandReport) {
	if address == "" {
		return
	}
	c.inbox.Call("report "+address, func(ctx context.Context) message {
		if err := c.settings.Peers.Report(ctx, address, r); err != nil {
			c.settings.Logger.WithError(err).Debug("report failed")
		}
		return nil
	})
}

func (c *Control) peerAddress(name string) string {
	m, _ := c.members.Find(name)
	return m.PeerAddress
}

func (c *Control) ownReport(now time.Time) *wire.DemandReport {
	r := &wire.DemandReport{FailureDomain: c.self.FailureDomain, Reporter: c.self.Name}
	for _, k := range c.index.All() {
		if w := c.works[k.Name]; w != nil {
			r.Classes = append(r.Classes, w.report())
		}
	}
	for _, k := range c.sortedPools() {
		r.Sites = append(r.Sites, c.pools[k].report(k, now))
	}
	return r
}

func (w *work) report() *wire.ClassDemand {
	d := &wire.ClassDemand{Class: w.class.Name}
	for _, r := range w.rates {
		home := &wire.HomeDemand{FailureDomain: r.failureDomain, Buckets: peer.FromRates(r.rates[:])}
		if slices.ContainsFunc(home.GetBuckets(), func(b byte) bool { return b > 0 }) {
			d.Homes = append(d.Homes, home)
		}
	}
	return d
}

// report tells what this instance knows of a pool.
func (p *pool) report(k poolKey, now time.Time) *wire.SiteReport {
	census := p.Stats(now)
	passed := now.Sub(p.measured).Seconds()
	if passed > 0 {
		p.rate = float64(census.Answers-p.answers) / passed
	}
	p.answers = census.Answers
	p.measured = now
	return &wire.SiteReport{
		Service:     k.service,
		Site:        k.site,
		Load:        p.rate,
		Alive:       census.Available > 0,
		MeanSeconds: census.ServiceTime.Seconds(),
	}
}

// mergeReports returns the sum of the reports of this failure domain.
func (c *Control) mergeReports(now time.Time) *wire.DemandReport {
	merged := &wire.DemandReport{FailureDomain: c.self.FailureDomain, Reporter: c.self.Name + "/merged", Merged: true}
	classes := make(map[string]*demandSum)
	var order []string
	sites := make(map[poolKey]*wire.SiteReport)
	for name, r := range c.reports {
		if now.Sub(r.at) > reportForget {
			delete(c.reports, name)
		}
		if r.report.GetMerged() || now.Sub(r.at) > reportFor {
			continue
		}
		for _, d := range r.report.GetClasses() {
			if classes[d.GetClass()] == nil {
				classes[d.GetClass()] = newDemandSum()
				order = append(order, d.GetClass())
			}
			classes[d.GetClass()].add(d)
		}
		for _, s := range r.report.GetSites() {
			mergeSite(sites, s)
		}
	}
	for _, name := range order {
		merged.Classes = append(merged.Classes, classes[name].wire(name))
	}
	for _, k := range c.sortedPools() {
		if s := sites[k]; s != nil {
			merged.Sites = append(merged.Sites, s)
		}
	}
	merged.Settled = peer.FromSteps(c.domainSteps())
	return merged
}

func mergeSite(sites map[poolKey]*wire.SiteReport, s *wire.SiteReport) {
	k := poolKey{service: s.GetService(), site: s.GetSite()}
	sum := sites[k]
	if sum == nil {
		sum = &wire.SiteReport{Service: s.GetService(), Site: s.GetSite()}
		sites[k] = sum
	}
	sum.Load += s.GetLoad()
	sum.Alive = sum.Alive || s.GetAlive()
	sum.MeanSeconds = max(sum.GetMeanSeconds(), s.GetMeanSeconds())
}

// demandSum adds up the demand of one class.
type demandSum struct {
	homes map[string]*[lovageyard.Buckets]float64
}

func newDemandSum() *demandSum {
	return &demandSum{homes: make(map[string]*[lovageyard.Buckets]float64)}
}

func (s *demandSum) add(d *wire.ClassDemand) {
	for _, h := range d.GetHomes() {
		buckets := s.homes[h.GetFailureDomain()]
		if buckets == nil {
			buckets = new([lovageyard.Buckets]float64)
			s.homes[h.GetFailureDomain()] = buckets
		}
		for b, rate := range peer.ToRates(h.GetBuckets()) {
			if b < len(buckets) {
				buckets[b] += rate
			}
		}
	}
}

func (s *demandSum) wire(class string) *wire.ClassDemand {
	d := &wire.ClassDemand{Class: class}
	for name, buckets := range s.homes {
		d.Homes = append(d.Homes, &wire.HomeDemand{FailureDomain: name, Buckets: peer.FromRates(buckets[:])})
	}
	return d
}

// Report takes in a report of a peer.
func (c *Control) Report(_ context.Context, r *wire.DemandReport) (*wire.ReportReply, error) {
	if !c.inbox.Post(reported{report: r}) {
		return nil, context.Canceled
	}
	return &wire.ReportReply{}, nil
}

type reported struct {
	report *wire.DemandReport
}

func (m reported) Apply(c *Control) {
	c.keepReport(m.report, c.settings.Timer.Now())
}

func (c *Control) keepReport(r *wire.DemandReport, now time.Time) {
	c.reports[r.GetReporter()] = &report{at: now, report: r}
}
