package control

import (
	"context"
	"net/netip"
	"slices"
	"strings"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/operator"
)

// Status tells what this instance knows and applies.
func (c *Control) Status(ctx context.Context) (operator.Status, error) {
	return ask(ctx, c, func() operator.Status { return c.status() })
}

// Explain tells where a request of a client goes now, and why.
func (c *Control) Explain(ctx context.Context, class string, client netip.Addr) (operator.Explanation, error) {
	return ask(ctx, c, func() operator.Explanation { return c.explain(class, client) })
}

// question is a query that the loop answers.
type question[T any] struct {
	answer func() T
	reply  chan T
}

func (q question[T]) Apply(*Control) {
	q.reply <- q.answer()
}

func ask[T any](ctx context.Context, c *Control, answer func() T) (T, error) {
	q := question[T]{answer: answer, reply: make(chan T, 1)}
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
		if w := c.works[k.Name]; w != nil {
			s.Moves = append(s.Moves, c.moveStatus(w))
		}
	}
	for _, k := range c.sortedPools() {
		census := c.pools[k].Stats(now)
		s.Pools = append(s.Pools, operator.PoolStatus{
			Service:   k.service,
			Site:      k.site,
			Servers:   census.Servers,
			Available: census.Available,
			Slots:     census.Slots,
			InFlight:  census.InFlight,
			Queued:    census.Queued,
			MeanMs:    float64(census.Mean.Microseconds()) / 1000,
		})
	}
	return s
}

// plannerStatus tells who plans each service, as far as this instance has seen.
func (c *Control) plannerStatus() []operator.PlannerStatus {
	var list []operator.PlannerStatus
	for service, p := range c.planners {
		list = append(list, operator.PlannerStatus{Service: service, Holder: p.record.Holder, Epoch: p.record.Epoch})
	}
	slices.SortFunc(list, func(a, b operator.PlannerStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}

func (c *Control) moveStatus(w *work) operator.MoveStatus {
	settled, remaining := w.stepper.Progress(w.demand())
	m := operator.MoveStatus{
		Class:          w.class.Name,
		Step:           w.plan.Step,
		LocalStep:      settled,
		LocalRemaining: remaining,
	}
	m.ReachedStep, m.Move.Remaining = c.reached(w.class.Name)
	if w.plan.Move != nil {
		remaining := m.Move.Remaining
		m.Move = *w.plan.Move
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
	w := c.works[class]
	if w == nil {
		e.Reason = "no class of that name"
		return e
	}
	e.PlanStep = w.plan.Step
	e.PlannedSite = w.plan.SiteOf(home, place.Bucket)
	e.Reason = "placement in force here"
	if !w.stepper.Initialized() {
		e.Reason = "no placement is in force here yet; requests go to the own failure domain"
		return e
	}
	applied := w.stepper.Applied()
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
	if w.plan.Move != nil {
		e.Move = w.plan.Move.Reason
	}
	return e
}
