package control

import (
	"context"
	"net/netip"
	"slices"
	"strings"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/operator"
)

// Status returns the state of this instance for the operators' interface.
func (c *Control) Status(ctx context.Context) (operator.Status, error) {
	return runQuery(ctx, c, func() operator.Status { return c.status() })
}

// Explain returns the site that a client's request would currently be routed to, and the reason.
func (c *Control) Explain(ctx context.Context, class string, client netip.Addr) (operator.Explanation, error) {
	return runQuery(ctx, c, func() operator.Explanation { return c.explain(class, client) })
}

// query is a function that the loop calls, with a channel for its result.
type query[T any] struct {
	compute func() T
	reply   chan T
}

func (q query[T]) Apply(*Control) {
	q.reply <- q.compute()
}

func runQuery[T any](ctx context.Context, c *Control, compute func() T) (T, error) {
	q := query[T]{compute: compute, reply: make(chan T, 1)}
	var none T
	if !c.inbox.Post(q) {
		return none, context.Canceled
	}
	select {
	case value := <-q.reply:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.inbox.Context().Done():
		return none, context.Canceled
	}
}

func (c *Control) status() operator.Status {
	now := c.settings.Timer.Now()
	s := operator.Status{
		Instance:      c.self.Name,
		FailureDomain: c.self.FailureDomain,
		Region:        c.self.Region,
		State:         c.self.State,
		Version:       c.config.Version(),
		Relay:         c.isRelay(),
		Planners:      c.plannerStatus(),
		Blocks:        c.blocks.Len(),
		Sites:         c.config.Orders(),
	}
	if !c.listedAt.IsZero() {
		s.ListAgeMs = now.Sub(c.listedAt).Milliseconds()
	}
	for _, m := range c.members.Members() {
		s.Instances = append(s.Instances, operator.InstanceStatus{EntryInstance: m.EntryInstance, Version: m.Version})
	}
	for _, k := range c.index.All() {
		row, _ := c.config.Row(lovageyard.TableClasses, k.Name)
		s.Classes = append(s.Classes, operator.VersionedClass{Version: row.Version, Class: k})
		if cs := c.classes[k.Name]; cs != nil {
			s.Moves = append(s.Moves, c.moveStatus(cs))
		}
	}
	for _, k := range c.sortedPools() {
		stats := c.pools[k].Stats(now)
		s.Pools = append(s.Pools, operator.PoolStatus{
			Service:   k.service,
			Site:      k.site,
			Servers:   stats.Servers,
			Available: stats.Available,
			Slots:     stats.Slots,
			InFlight:  stats.InFlight,
			Queued:    stats.Queued,
			MeanMs:    float64(stats.Mean.Microseconds()) / 1000,
		})
	}
	return s
}

// plannerStatus returns the lease holder of each service that this instance has tried to plan.
func (c *Control) plannerStatus() []operator.PlannerStatus {
	var list []operator.PlannerStatus
	for service, p := range c.planners {
		list = append(list, operator.PlannerStatus{Service: service, Holder: p.record.Holder, Epoch: p.record.Epoch})
	}
	slices.SortFunc(list, func(a, b operator.PlannerStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}

func (c *Control) moveStatus(cs *classState) operator.MoveStatus {
	completed, remaining := cs.stepper.Progress(cs.demand())
	m := operator.MoveStatus{
		Class:          cs.class.Name,
		Step:           cs.plan.Step,
		LocalStep:      completed,
		LocalRemaining: remaining,
	}
	m.ReachedStep, m.Move.Remaining = c.reachedStep(cs.class.Name)
	if cs.plan.Move != nil {
		remaining := m.Move.Remaining
		m.Move = *cs.plan.Move
		m.Move.Remaining = remaining
	}
	return m
}

func (c *Control) explain(class string, client netip.Addr) operator.Explanation {
	snapshot := c.Snapshot()
	place, home := snapshot.Locate(client)
	e := operator.Explanation{
		Class:  class,
		Client: client.String(),
		Block:  place.Block.String(),
		Home:   home,
		Bucket: place.Bucket,
	}
	cs := c.classes[class]
	if cs == nil {
		e.Reason = "no class of that name"
		return e
	}
	e.PlanStep = cs.plan.Step
	e.PlannedSite = cs.plan.SiteOf(home, place.Bucket)
	e.Reason = "placement in force here"
	if !cs.stepper.Initialized() {
		e.Reason = "no placement is in force here yet; requests go to the own failure domain"
		return e
	}
	applied := cs.stepper.Applied()
	cells := applied.Find(home)
	if cells == nil {
		e.Reason = "the plan does not know the home failure domain; requests go to the own one"
		return e
	}
	cell := cells[place.Bucket]
	e.Site = cell.Site
	e.MovingTo = cell.Target
	e.Moved = cell.Shifted
	e.Moving = cell.Moving
	if cs.plan.Move != nil {
		e.Move = cs.plan.Move.Reason
	}
	return e
}
