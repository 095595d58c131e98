package server

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"lovageyard.example/lovageyard"
)

// The states of a backend server as seen by one entry instance.
const (
	stateCold    = "cold"
	stateReady   = "ready"
	stateSuspect = "suspect"
	stateLeaving = "leaving"
)

// The events that change the state.
const (
	eventWarm    = "warm"
	eventFailed  = "failed"
	eventHealthy = "healthy"
	eventLeaving = "leaving"
	eventReturn  = "return"
)

// Parameters of the limits and estimates of a server.
const (
	// warmUpResponses is the number of responses after which a cold server is ready.
	warmUpResponses = 20
	// rampUpResponses is the number of responses that raise a cold server's limit by one.
	rampUpResponses = 4
	// defaultSlots is the limit of a server that has never reported its slots.
	defaultSlots = 4
	// meanWeight is the weight of a new response time in the moving mean.
	meanWeight = 0.1
	// reportAgeFactor is for how many mean response times a report of others' requests is used.
	reportAgeFactor = 4
	// Bounds of that time.
	minReportAge = 20 * time.Millisecond
	maxReportAge = 2 * time.Second
	// overcommitShare is the part of a server's slots by which its estimated load may exceed them:
	// load reports lag behind, and the server's own queue absorbs the error.
	overcommitShare = 0.25
)

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(stateCold, fsm.Events{
		{Name: eventWarm, Src: []string{stateCold}, Dst: stateReady},
		{Name: eventFailed, Src: []string{stateCold, stateReady}, Dst: stateSuspect},
		{Name: eventHealthy, Src: []string{stateSuspect}, Dst: stateCold},
		{Name: eventLeaving, Src: []string{stateCold, stateReady, stateSuspect}, Dst: stateLeaving},
		{Name: eventReturn, Src: []string{stateLeaving}, Dst: stateCold},
	}, fsm.Callbacks{})
}

// backend is one backend server of a pool.
type backend struct {
	lovageyard.BackendServer
	machine  *fsm.FSM
	state    string
	inFlight int
	// others is the number of other instances' requests at the server at othersAt.
	others       int
	othersAt     time.Time
	meanDuration time.Duration
	responses    int
	slots        int
	// serviceTime is the mean time per request that the server itself reports.
	serviceTime time.Duration
}

func newBackend(b lovageyard.BackendServer) *backend {
	be := &backend{BackendServer: b, machine: newStateMachine(), state: stateCold, slots: b.Slots}
	if be.slots <= 0 {
		be.slots = defaultSlots
	}
	return be
}

func (be *backend) trigger(event string) {
	if be.machine.Can(event) {
		_ = be.machine.Event(context.Background(), event)
		be.state = be.machine.Current()
	}
}

func (be *backend) isAvailable() bool {
	return be.state == stateCold || be.state == stateReady
}

// load returns the estimated number of requests at the server: this instance's own, and those of
// others as last reported, with a weight that decreases with the age of the report.
func (be *backend) load(now time.Time) float64 {
	return float64(be.inFlight) + be.decayedOthers(now)
}

func (be *backend) decayedOthers(now time.Time) float64 {
	age := now.Sub(be.othersAt)
	lifetime := be.reportLifetime()
	if be.others <= 0 || age >= lifetime {
		return 0
	}
	return float64(be.others) * (1 - float64(age)/float64(lifetime))
}

func (be *backend) reportLifetime() time.Duration {
	if be.meanDuration == 0 {
		return maxReportAge
	}
	return min(maxReportAge, max(minReportAge, reportAgeFactor*be.meanDuration))
}

// overcommit returns by how much the estimated load may exceed the slots.
func (be *backend) overcommit() float64 {
	return max(1, overcommitShare*float64(be.slots))
}

// limit returns how many concurrent requests this instance may have at the server.
func (be *backend) limit() int {
	if be.state != stateCold {
		return be.slots
	}
	return min(be.slots, 1+be.responses/rampUpResponses)
}

// applyResponse updates the estimates with the outcome of one attempt.
func (be *backend) applyResponse(o lovageyard.Outcome) {
	if o.Reported {
		be.applyReport(o.At, o.Report)
	}
	if o.Failed {
		return
	}
	be.responses++
	if be.meanDuration == 0 {
		be.meanDuration = o.Duration
	}
	be.meanDuration += time.Duration(meanWeight * float64(o.Duration-be.meanDuration))
	if be.responses >= warmUpResponses {
		be.trigger(eventWarm)
	}
}

func (be *backend) applyReport(at time.Time, r lovageyard.LoadReport) {
	if r.Slots > 0 {
		be.slots = r.Slots
	}
	if r.MeanMs > 0 {
		be.serviceTime = time.Duration(r.MeanMs * float64(time.Millisecond))
	}
	be.others = max(0, r.InFlight+r.Queued-be.inFlight)
	be.othersAt = at
	if r.Leaving {
		be.trigger(eventLeaving)
	}
}
