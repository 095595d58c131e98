package control

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/lease"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
)

// plannerKey is the key of the planner's lease.
const plannerKey = "planner"

// grantTolerance is the relative change of a grant that is worth a new row.
const grantTolerance = 0.1

func leaseHolder(i lovageyard.EntryInstance) string {
	return i.Name + "/" + strconv.FormatInt(i.Life, 10)
}

// plan begins one round of planning: to take or renew the lease and, if it is held, to
// place every class. The round works on copies, outside the loop.
func (c *Control) plan(now time.Time) {
	if c.busy["plan"] || c.self.State != lovageyard.StateLive {
		return
	}
	inputs := c.plannerInputs(now)
	grants := c.grantInput(now)
	c.call("plan", func(ctx context.Context) message {
		result := planned{err: c.lease.Try(ctx, c.settings.Timer)}
		result.leader = c.lease.Record()
		if result.err != nil || !c.lease.Held(c.settings.Timer.Now()) {
			return result
		}
		for _, in := range inputs {
			result.rounds = append(result.rounds, c.planClass(ctx, in))
		}
		c.writeGrants(ctx, grants)
		return result
	})
}

type planned struct {
	leader lease.Record
	rounds []planRound
	err    error
}

// planRound is the end of one round for one class.
type planRound struct {
	output placement.Output
	err    error
}

func (m planned) apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("the planner's lease could not be tried")
	}
	if m.leader.Holder != "" && m.leader != c.leader {
		if m.leader.Epoch != c.leader.Epoch {
			c.settings.Logger.WithField("planner", m.leader.Holder).WithField("epoch", m.leader.Epoch).Info("planner")
		}
		c.leader = m.leader
	}
	for _, r := range m.rounds {
		c.recordRound(r)
	}
	if len(m.rounds) > 0 {
		c.poll()
	}
}

func (c *Control) recordRound(r planRound) {
	if r.err != nil {
		c.settings.Logger.WithError(r.err).Warn("a plan could not be written")
		return
	}
	if !r.output.Changed {
		return
	}
	d := lovageyard.Decision{
		Kind:     "placement",
		Class:    r.output.Plan.Class,
		PlanStep: r.output.Plan.Step,
		Reason:   r.output.Reason,
	}
	if r.output.Plan.Move != nil {
		d.Share = r.output.Plan.Move.Remaining
	}
	c.settings.Recorder.Record(d)
}

// plannerInput is the input of one class's round, with the version of its plan's row.
type plannerInput struct {
	placement.Input
	version int64
}

// planClass makes one round for one class and writes the plan if it changed. The write
// holds only under the lease and the plan version that the round was based on.
func (c *Control) planClass(ctx context.Context, in plannerInput) planRound {
	in.Epoch = c.lease.Record().Epoch
	out := placement.Round(in.Input)
	if !out.Changed {
		return planRound{output: out}
	}
	value, err := json.Marshal(out.Plan)
	if err != nil {
		return planRound{output: out, err: errors.Wrap(err, "plan")}
	}
	return planRound{output: out, err: c.writeUnderLease(ctx, lovageyard.TablePlans, in.Class.Name, in.version, value)}
}

func (c *Control) writeUnderLease(ctx context.Context, table, key string, version int64, value []byte) error {
	_, err := c.settings.Table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{
			c.lease.Condition(),
			{Table: table, Key: key, Version: version},
		},
		Writes: []lovageyard.Write{{Table: table, Key: key, Value: value}},
	})
	return errors.Wrap(err, table+"/"+key)
}

// plannerInputs gathers the inputs of all classes.
func (c *Control) plannerInputs(now time.Time) []plannerInput {
	view := c.view(now)
	var inputs []plannerInput
	for _, k := range c.index.All() {
		w := c.works[k.Name]
		if w == nil {
			continue
		}
		row, _ := c.config.Row(lovageyard.TablePlans, k.Name)
		reached, left := c.reached(k.Name)
		inputs = append(inputs, plannerInput{
			version: row.Version,
			Input: placement.Input{
				Now:       now,
				Class:     k,
				Orders:    c.config.Orders(),
				Sites:     view.sites(k),
				Homes:     view.homes(k.Name),
				Latencies: c.settings.Latencies,
				Headroom:  c.settings.Headroom,
				Current:   w.plan,
				Reached:   reached,
				Left:      left,
			},
		})
	}
	return inputs
}

// reached returns the plan step of a class that all live instances apply in full, and
// the largest share of work that one of them still has to move.
func (c *Control) reached(class string) (step int64, left float64) {
	step = math.MaxInt64
	for _, m := range c.members.Live() {
		for _, s := range m.Steps {
			if s.Class == class {
				step = min(step, s.Settled)
				left = max(left, s.Left)
			}
		}
	}
	if step == math.MaxInt64 {
		return 0, 0
	}
	return step, left
}

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
		if !r.report.GetMerged() || now.Sub(r.at) > placement.StaleAfter {
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
	for _, m := range c.members.Known() {
		names = append(names, m.FailureDomain)
	}
	for _, p := range c.pools {
		names = append(names, p.failureDomain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (v *view) homes(class string) []placement.Home {
	members := v.control.members.Known()
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
	age := placement.StaleAfter
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

// grantInput is what the planner needs to write the grants.
type grantInput struct {
	plan    lovageyard.GrantPlan
	version int64
	changed bool
}

func (c *Control) grantInput(now time.Time) grantInput {
	v := c.view(now)
	var spares []grant.Spare
	for _, key := range c.sortedPools() {
		p := c.pools[key]
		service := v.service(key, v.typicalService(key.service))
		s := grant.Spare{
			Service: key.service,
			Site:    key.site,
			Known:   v.age(key) < placement.FreshFor && service > 0 && v.alive(key, p),
		}
		if service > 0 {
			s.Capacity = float64(v.slots(key, p)) / service * (1 - c.settings.Headroom)
		}
		for _, k := range c.index.All() {
			if k.Service == key.service {
				s.Load += v.planned(k.Name, key.site)
			}
		}
		spares = append(spares, s)
	}
	var holders []string
	for _, m := range c.members.Live() {
		holders = append(holders, m.Name)
	}
	row, _ := c.config.Row(lovageyard.TableGrants, grantsKey)
	plan := grant.Divide(spares, holders)
	return grantInput{plan: plan, version: row.Version, changed: grant.Differs(c.grants(), plan, grantTolerance)}
}

func (c *Control) writeGrants(ctx context.Context, in grantInput) {
	if !in.changed {
		return
	}
	value, err := json.Marshal(in.plan)
	if err == nil {
		err = c.writeUnderLease(ctx, lovageyard.TableGrants, grantsKey, in.version, value)
	}
	if err != nil {
		c.settings.Logger.WithError(err).Debug("the grants could not be written")
	}
}
