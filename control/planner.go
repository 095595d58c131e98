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

// plannerCandidates is the number of relays that may acquire the planner lease of a service.
const plannerCandidates = 2

// grantTolerance is the smallest relative change of a grant for which the row is rewritten.
const grantTolerance = 0.1

// planner is this instance's planning state for one service. The lease is used by one call at
// a time, outside the loop; record is accessed only by the loop.
type planner struct {
	lease  *lease.Lease
	record lease.Record
}

func leaseHolder(i lovageyard.EntryInstance) string {
	return i.Name + "/" + strconv.FormatInt(i.Incarnation, 10)
}

// candidatesFor returns the names of the relays that may plan a service: those with the highest
// rendezvous hashes among the first relays of all failure domains.
func (c *Control) candidatesFor(service string) []string {
	var names []string
	for _, failureDomain := range c.failureDomains() {
		if relays := c.members.Relays(failureDomain); len(relays) > 0 {
			names = append(names, relays[0])
		}
	}
	return instance.Rendezvous(names, service, plannerCandidates)
}

// services returns the services of all classes, sorted and without duplicates.
func (c *Control) services() []string {
	var names []string
	for _, k := range c.index.All() {
		names = append(names, k.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// plan starts a planning round for each service that this instance may plan.
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

// planService acquires or renews the lease of a service and, while it is held, places the
// service's classes. The round runs outside the loop, on copies of its state.
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
		result := planResult{service: service, err: p.lease.Try(ctx, c.settings.Timer)}
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

// planResult is the result of a planning round for one service.
type planResult struct {
	service string
	record  lease.Record
	rounds  []classRound
	err     error
}

func (m planResult) Apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("acquiring or renewing the planner lease failed")
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

// classRound is the result of a planning round for one class.
type classRound struct {
	output placement.Output
	err    error
}

func (c *Control) recordRound(r classRound) {
	if r.err != nil {
		c.settings.Logger.WithError(r.err).Warn("writing a plan failed")
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

// plannerInput is the input of a planning round for one class, with the version of the plan's row.
type plannerInput struct {
	placement.Input
	version int64
}

// planClass runs a planning round for one class and writes the plan if it changed. The write is
// conditional on the lease and on the plan version that the round was based on.
func (c *Control) planClass(ctx context.Context, l *lease.Lease, in plannerInput) classRound {
	in.Epoch = l.Record().Epoch
	out := placement.Round(in.Input)
	if !out.Changed {
		return classRound{output: out}
	}
	value, err := json.Marshal(out.Plan)
	if err != nil {
		return classRound{output: out, err: errors.Wrap(err, "plan")}
	}
	return classRound{output: out, err: c.writeUnderLease(ctx, l, lovageyard.TablePlans, in.Class.Name, in.version, value)}
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

// plannerInputs returns the inputs for the classes of a service.
func (c *Control) plannerInputs(view *view, service string) []plannerInput {
	var inputs []plannerInput
	for _, k := range c.index.All() {
		cs := c.classes[k.Name]
		if cs == nil || k.Service != service {
			continue
		}
		row, _ := c.config.Row(lovageyard.TablePlans, k.Name)
		reached, remaining := c.reachedStep(k.Name)
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
				Current:     cs.plan,
				AppliedStep: reached,
				Remaining:   remaining,
			},
		})
	}
	return inputs
}

// reachedStep returns the plan step of a class that every failure domain has applied completely,
// and the largest share of traffic that any of them still has to move, from the merged reports.
func (c *Control) reachedStep(class string) (step int64, remaining float64) {
	step = math.MaxInt64
	now := c.settings.Timer.Now()
	for _, r := range c.reports {
		if !r.report.GetMerged() || now.Sub(r.at) > placement.StaleAge {
			continue
		}
		for _, s := range r.report.GetSettled() {
			if s.GetClass() == class {
				step = min(step, s.GetSettled())
				remaining = max(remaining, float64(s.GetLeft()))
			}
		}
	}
	if step == math.MaxInt64 {
		return 0, 0
	}
	return step, remaining
}

// domainSteps returns, for each class, the lowest step that all live instances of this failure
// domain have applied completely, and the largest share that any of them still has to move.
func (c *Control) domainSteps() []instance.Step {
	members := append(c.members.Neighbours(), c.self)
	var steps []instance.Step
	for _, k := range c.index.All() {
		cs := c.classes[k.Name]
		if cs == nil || cs.plan.Step == 0 {
			continue
		}
		sum := instance.Step{Class: k.Name, Completed: cs.plan.Step}
		version := c.planVersion(k.Name)
		for _, m := range members {
			s, found := reportedStep(m, k.Name)
			if !found && m.Version < version {
				s.Completed = cs.plan.Step - 1
				found = true
			}
			if found {
				sum.Completed = min(sum.Completed, s.Completed)
				sum.Remaining = max(sum.Remaining, s.Remaining)
			}
		}
		steps = append(steps, sum)
	}
	return steps
}
