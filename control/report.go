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

// Limits on the age of demand reports.
const (
	// reportMaxAge is the age up to which a report is used.
	reportMaxAge = 15 * time.Second
	// reportExpiry is the age at which a report is deleted.
	reportExpiry = time.Minute
)

// report is the latest demand report of one instance or relay, with its time of receipt.
type report struct {
	at     time.Time
	report *wire.DemandReport
}

// sendReport sends this instance's measured demand to the first relay of its failure domain. That
// relay itself merges the reports and sends the sum to the candidates for the planner leases.
func (c *Control) sendReport(now time.Time) {
	own := c.ownReport(now)
	relays := c.relays()
	if len(relays) > 0 && relays[0] != c.self.Name {
		c.postReport(c.peerAddress(relays[0]), own)
		return
	}
	c.storeReport(own, now)
	merged := c.mergeReports(now)
	c.storeReport(merged, now)
	for name, services := range c.servicesByPlanner() {
		if name != c.self.Name {
			c.postReport(c.peerAddress(name), filterServices(merged, services, c.index))
		}
	}
}

// servicesByPlanner returns, for each planner candidate, the services that it may plan.
func (c *Control) servicesByPlanner() map[string][]string {
	byName := make(map[string][]string)
	for _, service := range c.services() {
		for _, name := range c.candidatesFor(service) {
			byName[name] = append(byName[name], service)
		}
	}
	return byName
}

// filterServices returns the part of a merged report that concerns the given services.
func filterServices(merged *wire.DemandReport, services []string, index *class.Index) *wire.DemandReport {
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

func (c *Control) postReport(address string, r *wire.DemandReport) {
	if address == "" {
		return
	}
	c.inbox.Call("report "+address, func(ctx context.Context) message {
		if err := c.settings.Peers.Report(ctx, address, r); err != nil {
			c.settings.Logger.WithError(err).Debug("sending a demand report failed")
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
		if cs := c.classes[k.Name]; cs != nil {
			r.Classes = append(r.Classes, cs.demandReport())
		}
	}
	for _, k := range c.sortedPools() {
		r.Sites = append(r.Sites, c.pools[k].siteReport(k, now))
	}
	return r
}

func (cs *classState) demandReport() *wire.ClassDemand {
	d := &wire.ClassDemand{Class: cs.class.Name}
	for _, r := range cs.rates {
		home := &wire.HomeDemand{FailureDomain: r.failureDomain, Buckets: peer.FromRates(r.rates[:])}
		if slices.ContainsFunc(home.GetBuckets(), func(b byte) bool { return b > 0 }) {
			d.Homes = append(d.Homes, home)
		}
	}
	return d
}

// siteReport returns this instance's measurements of a pool since the previous report.
func (p *pool) siteReport(k poolKey, now time.Time) *wire.SiteReport {
	stats := p.Stats(now)
	passed := now.Sub(p.measuredAt).Seconds()
	if passed > 0 {
		p.rate = float64(stats.Answers-p.lastAnswers) / passed
	}
	p.lastAnswers = stats.Answers
	p.measuredAt = now
	return &wire.SiteReport{
		Service:     k.service,
		Site:        k.site,
		Load:        p.rate,
		Alive:       stats.Available > 0,
		MeanSeconds: stats.ServiceTime.Seconds(),
	}
}

// mergeReports returns the sum of the current reports of this failure domain.
func (c *Control) mergeReports(now time.Time) *wire.DemandReport {
	merged := &wire.DemandReport{FailureDomain: c.self.FailureDomain, Reporter: c.self.Name + "/merged", Merged: true}
	classes := make(map[string]*demandSum)
	var order []string
	sites := make(map[poolKey]*wire.SiteReport)
	for name, r := range c.reports {
		if now.Sub(r.at) > reportExpiry {
			delete(c.reports, name)
		}
		if r.report.GetMerged() || now.Sub(r.at) > reportMaxAge {
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
		merged.Classes = append(merged.Classes, classes[name].toWire(name))
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

// demandSum accumulates the demand for one class.
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

func (s *demandSum) toWire(class string) *wire.ClassDemand {
	d := &wire.ClassDemand{Class: class}
	for name, buckets := range s.homes {
		d.Homes = append(d.Homes, &wire.HomeDemand{FailureDomain: name, Buckets: peer.FromRates(buckets[:])})
	}
	return d
}

// Report stores a peer's demand report, replacing the reporter's previous one.
func (c *Control) Report(_ context.Context, r *wire.DemandReport) (*wire.ReportReply, error) {
	if !c.inbox.Post(reportMessage{report: r}) {
		return nil, context.Canceled
	}
	return &wire.ReportReply{}, nil
}

type reportMessage struct {
	report *wire.DemandReport
}

func (m reportMessage) Apply(c *Control) {
	c.storeReport(m.report, c.settings.Timer.Now())
}

func (c *Control) storeReport(r *wire.DemandReport, now time.Time) {
	c.reports[r.GetReporter()] = &report{at: now, report: r}
}
