package control

import (
	"math"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/route"
	"lovageyard.example/lovageyard/server"
)

// demandTimeConstant is the time constant of the exponential moving average of the demand.
const demandTimeConstant = 5 * time.Second

// classState is the control state of one class.
type classState struct {
	class           lovageyard.Class
	plan            lovageyard.ClassPlan
	planSeenAt      time.Time
	stepper         *move.Stepper
	failoverLimiter *move.Limiter
	budget          *server.RetryBudget
	counts          []*route.HomeCounter
	rates           []*homeRate
	measuredAt      time.Time
	// completedStep is the plan step, and completedHomes the number of its homes, last found to
	// be applied completely.
	completedStep  int64
	completedHomes int
	// homes is a copy of the applied placement at the stepper's generation, for the snapshot.
	homes      []move.Home
	generation uint64
}

// homeRate is the measured demand of one home failure domain, in requests per second.
type homeRate struct {
	failureDomain string
	lastCounts    [lovageyard.Buckets]uint64
	rates         [lovageyard.Buckets]float64
}

// updateClasses applies the current classes and plans.
func (c *Control) updateClasses() {
	now := c.settings.Timer.Now()
	classes := c.config.Classes()
	for _, k := range classes {
		c.updateClass(k)
	}
	for name := range c.classes {
		if c.index.ByName(name) == nil {
			delete(c.classes, name)
		}
	}
	for _, p := range c.config.Plans() {
		cs := c.classes[p.Class]
		if cs == nil {
			continue
		}
		if cs.planSeenAt.IsZero() {
			cs.planSeenAt = now
		}
		cs.plan = p
		cs.stepper.SetPlan(p)
		cs.addHomes(p)
	}
	c.setGrants(now)
}

func (c *Control) updateClass(k lovageyard.Class) {
	cs := c.classes[k.Name]
	if cs == nil {
		cs = &classState{
			stepper:    move.NewStepper(k.Target),
			budget:     server.NewRetryBudget(),
			measuredAt: c.settings.Timer.Now(),
		}
		cs.addHome(c.self.FailureDomain)
		c.classes[k.Name] = cs
	}
	cs.class = k
	cs.stepper.SetTarget(k.Target)
	extra := k.Target.EffectiveFailoverCap() - k.Target.Cap
	switch {
	case extra <= 0:
		cs.failoverLimiter = cs.stepper.Limiter()
	case cs.failoverLimiter == nil || cs.failoverLimiter == cs.stepper.Limiter():
		cs.failoverLimiter = move.NewLimiter(extra, 0)
	}
}

func (cs *classState) addHomes(p lovageyard.ClassPlan) {
	for _, h := range p.Homes {
		cs.addHome(h.FailureDomain)
	}
}

func (cs *classState) addHome(failureDomain string) {
	known := slices.ContainsFunc(cs.counts, func(c *route.HomeCounter) bool {
		return c.FailureDomain == failureDomain
	})
	if known {
		return
	}
	cs.counts = append(slices.Clone(cs.counts), &route.HomeCounter{FailureDomain: failureDomain})
	cs.rates = append(cs.rates, &homeRate{failureDomain: failureDomain})
}

func (c *Control) setGrants(now time.Time) {
	grants := make(map[string]lovageyard.GrantPlan)
	for k, p := range c.pools {
		if _, found := grants[k.service]; !found {
			grants[k.service] = c.grants(k.service)
		}
		p.allowance.SetRate(grant.Rate(grants[k.service], c.self.Name, k.service, k.site), now)
	}
}

// measure updates the measured demand of all classes.
func (c *Control) measure(now time.Time) {
	for _, cs := range c.classes {
		cs.measure(now)
		cs.setLimiters()
	}
}

// setLimiters updates the limiters with the current demand. It does so even when there is no
// move, because a failover may use them at any time.
func (cs *classState) setLimiters() {
	target := cs.class.Target
	total := cs.demand().Total
	cs.stepper.Limiter().SetCap(target.Cap, total)
	if cs.failoverLimiter != cs.stepper.Limiter() {
		cs.failoverLimiter.SetCap(target.EffectiveFailoverCap()-target.Cap, total)
	}
}

func (cs *classState) measure(now time.Time) {
	passed := now.Sub(cs.measuredAt)
	if passed <= 0 {
		return
	}
	cs.measuredAt = now
	weight := 1 - math.Exp(-passed.Seconds()/demandTimeConstant.Seconds())
	for i, r := range cs.rates {
		for b := range r.rates {
			count := cs.counts[i].Buckets[b].Load()
			rate := float64(count-r.lastCounts[b]) / passed.Seconds()
			r.lastCounts[b] = count
			r.rates[b] += weight * (rate - r.rates[b])
		}
	}
}

// demand returns the number of requests expected in one interval of the class's target.
func (cs *classState) demand() move.Demand {
	var d move.Demand
	seconds := cs.class.Target.Interval.Std().Seconds()
	for _, r := range cs.rates {
		home := move.HomeDemand{FailureDomain: r.failureDomain, Buckets: make([]float64, lovageyard.Buckets)}
		for b, rate := range r.rates {
			home.Buckets[b] = rate * seconds
			d.Total += home.Buckets[b]
		}
		d.Homes = append(d.Homes, home)
	}
	return d
}

// stepClasses takes the next step of each class for which one is due.
func (c *Control) stepClasses(now time.Time) {
	var neighbours []instance.Member
	for name, cs := range c.classes {
		if cs.plan.Step == 0 || cs.stepper.Initialized() && cs.idle(now) {
			continue
		}
		if neighbours == nil {
			neighbours = c.members.Neighbours()
		}
		c.initPlacement(cs, neighbours, now)
		d := cs.demand()
		if cs.stepper.Tick(now, d, c.neighboursBegan(name, cs.currentStep(), neighbours)) {
			c.dirty = true
			c.recordStep(cs, d)
		}
	}
}

// idle reports whether a class's stepper has nothing to do: its interval is not over, or an
// earlier call found the current plan applied completely.
func (cs *classState) idle(now time.Time) bool {
	if !cs.stepper.Due(now) {
		return true
	}
	if cs.completedStep == cs.plan.Step && cs.completedHomes == len(cs.plan.Homes) {
		return true
	}
	if completed, _ := cs.stepper.Progress(move.Demand{}); completed == cs.plan.Step && cs.stepper.Idle() {
		cs.completedStep = cs.plan.Step
		cs.completedHomes = len(cs.plan.Homes)
	}
	return false
}

// recordStep records a step of a move as a decision.
func (c *Control) recordStep(cs *classState, d move.Demand) {
	step, remaining := cs.stepper.Progress(d)
	c.settings.Recorder.Record(lovageyard.Decision{
		Kind:     "move",
		Class:    cs.class.Name,
		PlanStep: step,
		Share:    remaining,
		Reason:   "step at this instance",
	})
}

// initPlacement sets a class's first placement from the plan when no neighbour has reported what
// is applied: at the plan's first step, or after a timeout, which is shorter without neighbours.
func (c *Control) initPlacement(cs *classState, neighbours []instance.Member, now time.Time) {
	if cs.stepper.Initialized() {
		return
	}
	alone := len(neighbours) == 0 && now.Sub(cs.planSeenAt) >= initTimeout/3
	if cs.plan.Step == 1 || alone || now.Sub(cs.planSeenAt) >= initTimeout {
		cs.stepper.Initialize(move.FromPlan(cs.plan), now)
		c.dirty = true
	}
}

// currentStep returns the plan step that the class is moving to, or 0 before its first placement.
func (cs *classState) currentStep() int64 {
	if !cs.stepper.Initialized() {
		return 0
	}
	return cs.plan.Step
}

// neighboursBegan reports whether all neighbours have begun a plan step. A neighbour that reports
// no step has completed the plan of its configuration version.
func (c *Control) neighboursBegan(class string, step int64, neighbours []instance.Member) bool {
	version := c.planVersion(class)
	for _, m := range neighbours {
		reported, found := reportedStep(m, class)
		if found && reported.Started > 0 && reported.Started < step || !found && m.Version < version {
			return false
		}
	}
	return true
}

func (c *Control) planVersion(class string) int64 {
	row, _ := c.config.Row(lovageyard.TablePlans, class)
	return row.Version
}

// reportedStep returns the step that a member reports for a class, and whether it reports one.
func reportedStep(m instance.Member, class string) (instance.Step, bool) {
	for _, s := range m.Steps {
		if s.Class == class {
			return s, true
		}
	}
	return instance.Step{}, false
}

// ownSteps returns this instance's progress with each class's plan. Classes that have completed
// their plan are omitted.
func (c *Control) ownSteps() []instance.Step {
	var steps []instance.Step
	for _, k := range c.index.All() {
		cs := c.classes[k.Name]
		if cs == nil || cs.plan.Step == 0 {
			continue
		}
		completed, remaining := cs.stepper.Progress(cs.demand())
		if completed == cs.plan.Step && cs.stepper.Idle() {
			continue
		}
		steps = append(steps, instance.Step{Class: k.Name, Started: cs.currentStep(), Completed: completed, Remaining: remaining})
	}
	return steps
}
