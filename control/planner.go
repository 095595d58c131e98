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
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/lease"
	"lovageyard.example/lovageyard/placement"
)

// candidates is the number of relays that may hold the planner's lease of a service.
const candidates = 2

// grantTolerance is the relative change of a grant that is worth a new row.
const grantTolerance = 0.1

// planner is this instance's part in planning one service. The lease is used by one
// call at a time, outside the loop; the record is the loop's.
type planner struct {
	lease  *lease.Lease
	record lease.Record
}

func leaseHolder(i lovageyard.EntryInstance) string {
	return i.Name + "/" + strconv.FormatInt(i.Incarnation, 10)
}

// candidatesFor returns the names of the relays that may plan a service: the highest
// rendezvous hashes over the first relays of all failure domains.
func (c *Control) candidatesFor(service string) []string {
	var names []string
	for _, failureDomain := range c.failureDomains() {
		if relays := c.members.Relays(failureDomain); len(relays) > 0 {
			names = append(names, relays[0])
		}
	}
	return instance.Rendezvous(names, service, candidates)
}

// services returns the services that classes name.
func (c *Control) services() []string {
	var names []string
	for _, k := range c.index.All() {
		names = append(names, k.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// plan begins a round of planning for each service that this instance may plan.
func (c *Control) plan(now time.Time) {
	if c.self.State != lovageyard.StateLive {
		return
	}
	for _, service := range c.services() {
		if slices.Contains(c.candidatesFor(service), c.self.Name) {
			c.planService(service, now)
		}
	}
}

// planService takes or renews the lease of a service and, if it is held, places its
// classes. The round works on copies, outside the loop.
func (c *Control) planService(service string, now time.Time) {
	name := "plan " + service
	if c.inbox.IsCalling(name) {
		return
	}
	p := c.planners[service]
	if p == nil {
		p = &planner{lease: lease.New(c.settings.Table, "planner-"+service, leaseHolder(c.settings.Self), c.self.PeerAddress, c.settings.LeaseDuration)}
		c.planners[service] = p
	}
	v := c.view(now)
	inputs := c.plannerInputs(v, service)
	grants := c.grantInput(v, service)
	c.inbox.Call(name, func(ctx context.Context) message {
		result := planned{service: service, err: p.lease.Try(ctx, c.settings.Timer)}
		result.record = p.lease.Record()
		if result.err != nil || !p.lease.Held(c.settings.Timer.Now()) {
			return result
		}
		for _, in := range inputs {
			result.rounds = append(result.rounds, c.planClass(ctx, p.lease, in))
		}
		c.writeGrants(ctx, p.lease, grants)
		return result
	})
}

// planned is the end of a round for one service.
type planned struct {
	service string
	record  lease.Record
	rounds  []planRound
	err     error
}

func (m planned) Apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("the planner's lease could not be tried")
	}
	p := c.planners[m.service]
	if m.record.Epoch != p.record.Epoch {
		c.settings.Logger.WithField("service", m.service).WithField("planner", m.record.Holder).
			WithField("epoch", m.record.Epoch).Info("planner")
	}
	p.record = m.record
	changed := false
	for _, r := range m.rounds {
		c.recordRound(r)
		changed = changed || r.output.Changed
	}
	if changed {
		c.poll()
	}
}

// planRound is the end of one round for one class.
type planRound struct {
	output placement.Output
	err    error
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
func (c *Control) planClass(ctx context.Context, l *lease.Lease, in plannerInput) planRound {
	in.Epoch = l.Record().Epoch
	out := placement.Round(in.Input)
	if !out.Changed {
		return planRound{output: out}
	}
	value, err := json.Marshal(out.Plan)
	if err != nil {
		return planRound{output: out, err: errors.Wrap(err, "plan")}
	}
	return planRound{output: out, err: c.writeUnderLease(ctx, l, lovageyard.TablePlans, in.Class.Name, in.version, value)}
}

func (c *Control) writeUnderLease(ctx context.Context, l *lease.Lease, table, key string, version int64, value []byte) error {
	_, err := c.settings.Table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{
			l.Condition(),
			{Table: table, Key: key, Version: version},
		},
		Writes: []lovageyard.Write{{Table: table, Key: key, Value: value}},
	})
	return errors.Wrap(err, table+"/"+key)
}

// plannerInputs gathers the inputs of a service's classes.
func (c *Control) plannerInputs(view *view, service string) []plannerInput {
	var inputs []plannerInput
	for _, k := range c.index.All() {
		w := c.works[k.Name]
		if w == nil || k.Service != service {
			continue
		}
		row, _ := c.config.Row(lovageyard.TablePlans, k.Name)
		reached, left := c.reached(k.Name)
		inputs = append(inputs, plannerInput{
			version: row.Version,
			Input: placement.Input{
				Now:         view.now,
				Class:       k,
				Orders:      c.config.Orders(),
				Sites:       view.sites(k),
				Homes:       view.homes(k.Name),
				Latencies:   c.settings.Latencies,
				Headroom:    c.settings.Headroom,
				Current:     w.plan,
				AppliedStep: reached,
				Remaining:   left,
			},
		})
	}
	return inputs
}

// reached returns the plan step of a class that every failure domain applies in full, and
// the largest share of work that one of them still has to move, by the merged reports.
func (c *Control) reached(class string) (step int64, left float64) {
	step = math.MaxInt64
	now := c.settings.Timer.Now()
	for _, r := range c.reports {
		if !r.report.GetMerged() || now.Sub(r.at) > placement.StaleAge {
			continue
		}
		for _, s := range r.report.GetSettled() {
			if s.GetClass() == class {
				step = min(step, s.GetSettled())
				left = max(left, float64(s.GetLeft()))
			}
		}
	}
	if step == math.MaxInt64 {
		return 0, 0
	}
	return step, left
}

// domainSteps returns, for each class, the least step that all live instances of the own
// failure domain apply in full, and the largest share that one still has to move.
func (c *Control) domainSteps() []instance.Step {
	members := append(c.members.Neighbours(), c.self)
	var steps []instance.Step
	for _, k := range c.index.All() {
		w := c.works[k.Name]
		if w == nil || w.plan.Step == 0 {
			continue
		}
		sum := instance.Step{Class: k.Name, Completed: w.plan.Step}
		version := c.planVersion(k.Name)
		for _, m := range members {
			s, told := stepOf(m, k.Name)
			if !told && m.Version < version {
				s.Completed = w.plan.Step - 1
				told = true
			}
			if told {
				sum.Completed = min(sum.Completed, s.Completed)
				sum.Remaining = max(sum.Remaining, s.Remaining)
			}
		}
		steps = append(steps, sum)
	}
	return steps
}
