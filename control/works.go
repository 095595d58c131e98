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

// demandTime is the time constant of the measured demand.
const demandTime = 5 * time.Second

// work is the control state of one class.
type work struct {
	class    lovageyard.Class
	plan     lovageyard.ClassPlan
	planSeen time.Time
	stepper  *move.Stepper
	forced   *move.Limiter
	budget   *server.RetryBudget
	counts   []*route.HomeCounter
	rates    []*homeRate
	measured time.Time
	// rested is the plan step, and restedHomes the number of its homes, that were found applied in full.
	rested      int64
	restedHomes int
	// homes is the placement in the snapshot, copied at the stepper's generation.
	homes      []move.Home
	generation uint64
}

// homeRate is the measured demand of one home failure domain, in requests a second.
type homeRate struct {
	failureDomain string
	last          [lovageyard.Buckets]uint64
	rates         [lovageyard.Buckets]float64
}

// setWorks takes in the classes and plans in force.
func (c *Control) setWorks() {
	now := c.settings.Timer.Now()
	classes := c.config.Classes()
	for _, k := range classes {
		c.setWork(k)
	}
	for name := range c.works {
		if c.index.ByName(name) == nil {
			delete(c.works, name)
		}
	}
	for _, p := range c.config.Plans() {
		w := c.works[p.Class]
		if w == nil {
			continue
		}
		if w.planSeen.IsZero() {
			w.planSeen = now
		}
		w.plan = p
		w.stepper.SetPlan(p)
		w.addHomes(p)
	}
	c.setGrants(now)
}

func (c *Control) setWork(k lovageyard.Class) {
	w := c.works[k.Name]
	if w == nil {
		w = &work{
			stepper:  move.NewStepper(k.Target),
			budget:   server.NewRetryBudget(),
			measured: c.settings.Timer.Now(),
		}
		w.addHome(c.self.FailureDomain)
		c.works[k.Name] = w
	}
	w.class = k
	w.stepper.SetTarget(k.Target)
	extra := k.Target.EffectiveFailoverCap() - k.Target.Cap
	switch {
	case extra <= 0:
		w.forced = w.stepper.Limiter()
	case w.forced == nil || w.forced == w.stepper.Limiter():
		w.forced = move.NewLimiter(extra, 0)
	}
}

func (w *work) addHomes(p lovageyard.ClassPlan) {
	for _, h := range p.Homes {
		w.addHome(h.FailureDomain)
	}
}

func (w *work) addHome(failureDomain string) {
	known := slices.ContainsFunc(w.counts, func(c *route.HomeCounter) bool {
		return c.FailureDomain == failureDomain
	})
	if known {
		return
	}
	w.counts = append(slices.Clone(w.counts), &route.HomeCounter{FailureDomain: failureDomain})
	w.rates = append(w.rates, &homeRate{failureDomain: failureDomain})
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

// measure brings the measured demand of all classes up to date.
func (c *Control) measure(now time.Time) {
	for _, w := range c.works {
		w.measure(now)
		w.setGates()
	}
}

// setGates tells the gates the present demand, also while nothing moves: failures may
// need them at any time.
func (w *work) setGates() {
	target := w.class.Target
	total := w.demand().Total
	w.stepper.Limiter().SetCap(target.Cap, total)
	if w.forced != w.stepper.Limiter() {
		w.forced.SetCap(target.EffectiveFailoverCap()-target.Cap, total)
	}
}

func (w *work) measure(now time.Time) {
	passed := now.Sub(w.measured)
	if passed <= 0 {
		return
	}
	w.measured = now
	weight := 1 - math.Exp(-passed.Seconds()/demandTime.Seconds())
	for i, r := range w.rates {
		for b := range r.rates {
			count := w.counts[i].Buckets[b].Load()
			rate := float64(count-r.last[b]) / passed.Seconds()
			r.last[b] = count
			r.rates[b] += weight * (rate - r.rates[b])
		}
	}
}

// demand returns the demand of one interval of the class.
func (w *work) demand() move.Demand {
	var d move.Demand
	seconds := w.class.Target.Interval.Std().Seconds()
	for _, r := range w.rates {
		home := move.HomeDemand{FailureDomain: r.failureDomain, Buckets: make([]float64, lovageyard.Buckets)}
		for b, rate := range r.rates {
			home.Buckets[b] = rate * seconds
			d.Total += home.Buckets[b]
		}
		d.Homes = append(d.Homes, home)
	}
	return d
}

// stepWorks lets each class take its next step, if one is due.
func (c *Control) stepWorks(now time.Time) {
	var neighbours []instance.Member
	for name, w := range c.works {
		if w.plan.Step == 0 || w.stepper.Initialized() && w.idle(now) {
			continue
		}
		if neighbours == nil {
			neighbours = c.members.Neighbours()
		}
		c.adopt(w, neighbours, now)
		d := w.demand()
		if w.stepper.Tick(now, d, c.level(name, w.begun(), neighbours)) {
			c.dirty = true
			c.recordStep(w, d)
		}
	}
}

// idle says whether a class's stepper has nothing to do: no interval is over, or the
// placement has been in force since it was last asked.
func (w *work) idle(now time.Time) bool {
	if !w.stepper.Due(now) {
		return true
	}
	if w.rested == w.plan.Step && w.restedHomes == len(w.plan.Homes) {
		return true
	}
	if settled, _ := w.stepper.Progress(move.Demand{}); settled == w.plan.Step && w.stepper.Idle() {
		w.rested = w.plan.Step
		w.restedHomes = len(w.plan.Homes)
	}
	return false
}

// recordStep writes the decision on a step of a move to the log.
func (c *Control) recordStep(w *work, d move.Demand) {
	step, left := w.stepper.Progress(d)
	c.settings.Recorder.Record(lovageyard.Decision{
		Kind:     "move",
		Class:    w.class.Name,
		PlanStep: step,
		Share:    left,
		Reason:   "step at this instance",
	})
}

// adopt gives a class its first placement when no neighbour can tell what is applied.
func (c *Control) adopt(w *work, neighbours []instance.Member, now time.Time) {
	if w.stepper.Initialized() {
		return
	}
	alone := len(neighbours) == 0 && now.Sub(w.planSeen) >= adoptPatience/3
	if w.plan.Step == 1 || alone || now.Sub(w.planSeen) >= adoptPatience {
		w.stepper.Initialize(move.FromPlan(w.plan), now)
		c.dirty = true
	}
}

// begun returns the plan step that the class moves to, or 0 before the first placement.
func (w *work) begun() int64 {
	if !w.stepper.Initialized() {
		return 0
	}
	return w.plan.Step
}

// level says whether all neighbours have begun a plan step. One that tells no step is at
// rest with the plan of its configuration version.
func (c *Control) level(class string, step int64, neighbours []instance.Member) bool {
	version := c.planVersion(class)
	for _, m := range neighbours {
		begun, told := stepOf(m, class)
		if told && begun.Started > 0 && begun.Started < step || !told && m.Version < version {
			return false
		}
	}
	return true
}

func (c *Control) planVersion(class string) int64 {
	row, _ := c.config.Row(lovageyard.TablePlans, class)
	return row.Version
}

// stepOf returns the step that a member tells of a class, and whether it tells one.
func stepOf(m instance.Member, class string) (instance.Step, bool) {
	for _, s := range m.Steps {
		if s.Class == class {
			return s, true
		}
	}
	return instance.Step{}, false
}

// steps returns how far this instance is with each class's plan; a class at rest is left out.
func (c *Control) steps() []instance.Step {
	var steps []instance.Step
	for _, k := range c.index.All() {
		w := c.works[k.Name]
		if w == nil || w.plan.Step == 0 {
			continue
		}
		settled, left := w.stepper.Progress(w.demand())
		if settled == w.plan.Step && w.stepper.Idle() {
			continue
		}
		steps = append(steps, instance.Step{Class: k.Name, Started: w.begun(), Completed: settled, Remaining: left})
	}
	return steps
}
