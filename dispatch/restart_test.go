package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// restartStep is the time step of a fleetModel.
const restartStep = 10 * time.Millisecond

// modelInstance is an instance of a fleetModel. table is that of its current incarnation, or nil while it is down.
type modelInstance struct {
	name      string
	table     *dispatch.Table
	restartAt time.Time
	// unlisted means that the others may have divided the bounds without it.
	unlisted bool
}

// fleetModel is a group of instances that are killed and started again while the requests of one service fail.
type fleetModel struct {
	bound     dispatch.RetryBound
	cold      dispatch.ColdBound
	route     lovageyard.Route
	snapshot  *catalog.Snapshot
	names     []string
	instances []*modelInstance
	random    *rand.Rand
	now       time.Time
	// requests and retries count those of each step, at all instances together.
	requests, retries []int
}

func newFleetModel(seed uint64, count int) *fleetModel {
	configuration := &lovageyard.Configuration{
		Services: map[string]lovageyard.Service{"desk": {Name: "desk"}},
		Routes: []lovageyard.Route{{
			Name: "desk", Attempts: 3, Goal: 200 * time.Millisecond, Parts: []lovageyard.ServiceWeight{{Service: "desk", Weight: 1}},
		}},
	}
	m := &fleetModel{
		bound:    dispatch.RetryBound{Ratio: 0.2, Window: 10 * time.Second, Slack: 60},
		route:    configuration.Routes[0],
		snapshot: &catalog.Snapshot{Configuration: configuration},
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1000, 0),
	}
	for n := range count {
		name := fmt.Sprintf("entry-%d", n)
		m.names = append(m.names, name)
		m.instances = append(m.instances, &modelInstance{name: name})
	}
	for _, i := range m.instances {
		m.start(i)
	}
	return m
}

// start begins a new incarnation of an instance.
func (m *fleetModel) start(i *modelInstance) {
	i.table = dispatch.NewTable(dispatch.Settings{
		Self: i.name, StartedAt: m.now, IsListed: func() bool { return !i.unlisted }, Bounds: dispatch.Bounds{Retries: m.bound, Cold: m.cold},
	})
	i.table.SetInstances(m.names, m.now)
	i.table.SetCatalog(m.snapshot, m.now)
}

// kill ends an incarnation. The next one starts after a time that is drawn.
func (m *fleetModel) kill(i *modelInstance) {
	i.table = nil
	i.restartAt = m.now.Add(time.Duration(m.random.IntN(600)) * time.Millisecond)
}

// step lets each running instance receive requests at a rate, per second, of which a share fails.
func (m *fleetModel) step(rate, failing float64) {
	m.now = m.now.Add(restartStep)
	requests, retries := 0, 0
	for _, i := range m.instances {
		if i.table == nil && !m.now.Before(i.restartAt) {
			m.start(i)
		}
		if i.table == nil {
			continue
		}
		for range m.arrivals(rate * restartStep.Seconds()) {
			i.table.AssignService(&m.route, m.now)
			requests++
			for attempt := 1; attempt < m.route.Attempts && m.random.Float64() < failing; attempt++ {
				if !i.table.TakeRetry("desk", m.now).Allowed {
					break
				}
				retries++
			}
		}
	}
	m.requests = append(m.requests, requests)
	m.retries = append(m.retries, retries)
}

// arrivals draws the number of requests of one step from their mean.
func (m *fleetModel) arrivals(mean float64) int {
	n := int(mean)
	if m.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// sumOfWindow returns the sum of the counts of the window that ends with a step.
func sumOfWindow(counts []int, end, steps int) int {
	total := 0
	for i := max(0, end-steps+1); i <= end; i++ {
		total += counts[i]
	}
	return total
}

// checkBound asserts that no window has more retries than the bound allows for the requests in it, in the window
// before it or in the one half a window before it. It reports the window with the largest excess.
func (m *fleetModel) checkBound(c *qt.C) {
	steps := int(m.bound.Window / restartStep)
	worst, message := 0.0, ""
	for end := range m.retries {
		requests := 0
		for _, earlier := range []int{0, steps / 2, steps} {
			requests = max(requests, sumOfWindow(m.requests, end-earlier, steps))
		}
		retries := sumOfWindow(m.retries, end, steps)
		allowed := m.bound.Ratio*float64(requests) + m.bound.Slack
		if excess := float64(retries) - allowed; excess > worst {
			worst = excess
			message = fmt.Sprintf("%d retries in the %s up to %s, for %d requests; allowed %.1f", retries, m.bound.Window, time.Duration(end)*restartStep, requests, allowed)
		}
	}
	c.Assert(message, qt.Equals, "")
}

// restarts tells which instances are killed in a step; the same numbers always give the same restarts.
type restarts struct {
	name string
	kill func(m *fleetModel, at time.Duration)
}

func killEach(period time.Duration) func(m *fleetModel, at time.Duration) {
	return func(m *fleetModel, at time.Duration) {
		if at%period == 0 {
			m.killAll()
		}
	}
}

func (m *fleetModel) killAll() {
	for _, i := range m.instances {
		m.kill(i)
	}
}

var restartSeries = []restarts{
	{"all at once in series", killEach(900 * time.Millisecond)},
	{"all at once, one window apart", killEach(10 * time.Second)},
	{"all twice within a window", func(m *fleetModel, at time.Duration) {
		if at == 18*time.Second || at == 24*time.Second {
			m.killAll()
		}
	}},
	{"all once, with a budget that is unspent", func(m *fleetModel, at time.Duration) {
		if at == 21*time.Second {
			m.killAll()
		}
	}},
	{"in turn", func(m *fleetModel, at time.Duration) {
		if period := 700 * time.Millisecond; at%period == 0 {
			m.kill(m.instances[int(at/period)%len(m.instances)])
		}
	}},
	{"in turn, one window apart", func(m *fleetModel, at time.Duration) {
		if period := 10 * time.Second / time.Duration(len(m.instances)); at%period < restartStep {
			m.kill(m.instances[int(at/period)%len(m.instances)])
		}
	}},
	{"at random", func(m *fleetModel, _ time.Duration) {
		if m.random.IntN(60) == 0 {
			m.kill(m.instances[m.random.IntN(len(m.instances))])
		}
	}},
}

// The retries of all instances together must stay within the bound in any window while instances are restarted: a
// new incarnation does not know what its predecessors have spent.
func TestRetryBoundHoldsOverRestarts(t *testing.T) {
	for _, series := range restartSeries {
		for _, rate := range []float64{0.2, 2, 25} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/%v requests a second/%d", series.name, rate, seed), func(t *testing.T) {
					m := newFleetModel(seed, 11)
					for at := time.Duration(0); at < 45*time.Second; at += restartStep {
						// Requests fail from 20 s on, when instances have run long enough to spend what they may.
						failing := 0.0
						if at >= 20*time.Second {
							failing = 0.7
						}
						series.kill(m, at)
						m.step(rate, failing)
					}
					m.checkBound(qt.New(t))
				})
			}
		}
	}
}

// A change of the bound's window must not give instances their spent shares again.
func TestChangedRetryWindowGivesNothingBack(t *testing.T) {
	c := qt.New(t)
	m := newFleetModel(1, 1)
	m.now = m.now.Add(m.bound.Window)
	table := m.instances[0].table
	take := func() int {
		n := 0
		for table.TakeRetry("desk", m.now).Allowed {
			n++
		}
		return n
	}
	c.Assert(table.TakeRetry("desk", m.now).Allowed, qt.IsTrue)
	m.now = m.now.Add(9 * time.Second)
	c.Assert(take() > 0, qt.IsTrue)
	changed := m.bound
	changed.Window = 2 * time.Second
	table.SetBounds(dispatch.Bounds{Retries: changed})
	m.now = m.now.Add(100 * time.Millisecond)
	c.Assert(take(), qt.Equals, 0)
}

// Instances that are partitioned from the platform serve on and know all others, while those remove them from the
// list after a while and divide the slack without them.
func TestRetryBoundHoldsInPartitions(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 25} {
		t.Run(fmt.Sprint(rate, " requests a second"), func(t *testing.T) {
			m := newFleetModel(1, 11)
			m.route.Attempts = 8
			cut, others := m.instances[:5], m.instances[5:]
			for at := time.Duration(0); at < 70*time.Second; at += restartStep {
				switch at {
				case 30 * time.Second:
					for _, i := range cut {
						i.unlisted = true
					}
				case 40 * time.Second:
					for _, i := range others {
						i.table.SetInstances(m.names[5:], m.now)
					}
				}
				failing := 0.0
				if at >= 20*time.Second {
					failing = 0.95
				}
				m.step(rate, failing)
			}
			m.checkBound(qt.New(t))
		})
	}
}

// A fault that is no longer than the window loses no retry while a sixth of the attempts fails, and all retries of a
// fault in which every attempt fails come to most of the bound, also if it begins all at once.
func TestRetriesOfRunningInstancesAreAllowed(t *testing.T) {
	for _, rate := range []float64{2, 25} {
		t.Run(fmt.Sprint(rate, " requests a second"), func(t *testing.T) {
			c := qt.New(t)
			m := newFleetModel(1, 11)
			wanted, allowed := 0, 0
			for at := time.Duration(0); at < 38*time.Second; at += restartStep {
				m.now = m.now.Add(restartStep)
				for _, i := range m.instances {
					for range m.arrivals(rate * restartStep.Seconds()) {
						i.table.AssignService(&m.route, m.now)
						if at < 30*time.Second || m.random.Float64() > 1.0/6 {
							continue
						}
						wanted++
						if i.table.TakeRetry("desk", m.now).Allowed {
							allowed++
						}
					}
				}
			}
			c.Assert(allowed, qt.Equals, wanted)
			m = newFleetModel(1, 11)
			for at := time.Duration(0); at < 40*time.Second; at += restartStep {
				failing := 0.0
				if at >= 30*time.Second {
					failing = 1
				}
				m.step(rate, failing)
			}
			steps := int(m.bound.Window / restartStep)
			last := len(m.retries) - 1
			bound := m.bound.Ratio*float64(sumOfWindow(m.requests, last, steps)) + m.bound.Slack
			c.Assert(float64(sumOfWindow(m.retries, last, steps)) > 0.8*bound, qt.IsTrue)
			c.Assert(float64(sumOfWindow(m.retries, last-4*steps/5, steps)) > 0.4*bound, qt.IsTrue, qt.Commentf("in the first 2 s"))
		})
	}
}

// An incarnation learns a server's rate limit from its first answer. Until then it sends no more than the server
// holds in its slots and its queue, so that this is what each restart may send beyond the limit.
func TestRequestsBeforeTheFirstAnswerFitAServer(t *testing.T) {
	c := qt.New(t)
	const slots = 8
	m := newFleetModel(1, 1)
	m.snapshot.Servers = []catalog.Server{{
		BackendServer: lovageyard.BackendServer{Name: "s", Service: "desk", Slots: slots, State: lovageyard.StateLive},
	}}
	m.start(m.instances[0])
	sent := 0
	for range 10 * slots {
		r := dispatch.Request{Now: m.now, Route: &m.route, Service: "desk", Deadline: m.now.Add(time.Minute)}
		if !m.instances[0].table.Choose(r).Refused {
			sent++
		}
	}
	c.Assert(sent > 0 && sent <= 3*slots, qt.IsTrue, qt.Commentf("%d requests without an answer", sent))
}
