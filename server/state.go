package server

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"lovageyard.example/lovageyard"
)

// The states of a backend server as one entry instance judges it.
const (
	stateCold    = "cold"
	stateReady   = "ready"
	stateSuspect = "suspect"
	stateLeaving = "leaving"
)

// The events that change the judgement.
const (
	eventWarm    = "warm"
	eventFailed  = "failed"
	eventHealthy = "healthy"
	eventLeaving = "leaving"
	eventReturn  = "return"
)

// Limits that a server's state puts on it.
const (
	// warmAnswers is the number of answers after which a cold server is ready.
	warmAnswers = 20
	// rampAnswers is the number of answers that widen a cold server's limit by one.
	rampAnswers = 4
	// unreportedSlots is the limit of a server that has never reported its slots.
	unreportedSlots = 4
	// smoothing is the weight of a new answer time in the moving mean.
	smoothing = 0.1
	// reportMeans is for how many mean answer times a report of others' requests is believed.
	reportMeans = 4
	// Bounds of that time.
	minReportAge = 20 * time.Millisecond
	maxReportAge = 2 * time.Second
	// spillShare is the part of a server's slots by which its believed load may go over
	// them: reports lag, and a server's own queue takes up the error.
	spillShare = 0.25
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(stateCold, fsm.Events{
		{Name: eventWarm, Src: []string{stateCold}, Dst: stateReady},
		{Name: eventFailed, Src: []string{stateCold, stateReady}, Dst: stateSuspect},
		{Name: eventHealthy, Src: []string{stateSuspect}, Dst: stateCold},
		{Name: eventLeaving, Src: []string{stateCold, stateReady, stateSuspect}, Dst: stateLeaving},
		{Name: eventReturn, Src: []string{stateLeaving}, Dst: stateCold},
	}, fsm.Callbacks{})
}

// member is one backend server of a pool.
type member struct {
	lovageyard.BackendServer
	machine  *fsm.FSM
	state    string
	inFlight int
	others   int
	othersAt time.Time
	mean     time.Duration
	answers  int
	slots    int
	// service is the time on one request that the server itself reports.
	service time.Duration
}

func newMember(b lovageyard.BackendServer) *member {
	m := &member{BackendServer: b, machine: newMachine(), state: stateCold, slots: b.Slots}
	if m.slots <= 0 {
		m.slots = unreportedSlots
	}
	return m
}

func (m *member) fire(event string) {
	if m.machine.Can(event) {
		_ = m.machine.Event(context.Background(), event)
		m.state = m.machine.Current()
	}
}

func (m *member) takesWork() bool {
	return m.state == stateCold || m.state == stateReady
}

// load returns the requests that the server is believed to hold: this instance's
// own, and those of others as last reported, believed less as the report ages.
func (m *member) load(now time.Time) float64 {
	return float64(m.inFlight) + m.othersNow(now)
}

func (m *member) othersNow(now time.Time) float64 {
	age := now.Sub(m.othersAt)
	believed := m.reportAge()
	if m.others <= 0 || age >= believed {
		return 0
	}
	return float64(m.others) * (1 - float64(age)/float64(believed))
}

func (m *member) reportAge() time.Duration {
	if m.mean == 0 {
		return maxReportAge
	}
	return min(maxReportAge, max(minReportAge, reportMeans*m.mean))
}

// spill returns how far the believed load may go over the slots.
func (m *member) spill() float64 {
	return max(1, spillShare*float64(m.slots))
}

// limit returns how many requests this instance may have at the server at once.
func (m *member) limit() int {
	if m.state != stateCold {
		return m.slots
	}
	return min(m.slots, 1+m.answers/rampAnswers)
}

// learn takes in what one answer taught.
func (m *member) learn(a lovageyard.Outcome) {
	if a.Reported {
		m.learnReport(a.At, a.Report)
	}
	if a.Failed {
		return
	}
	m.answers++
	if m.mean == 0 {
		m.mean = a.Duration
	}
	m.mean += time.Duration(smoothing * float64(a.Duration-m.mean))
	if m.answers >= warmAnswers {
		m.fire(eventWarm)
	}
}

func (m *member) learnReport(at time.Time, r lovageyard.LoadReport) {
	if r.Slots > 0 {
		m.slots = r.Slots
	}
	if r.MeanMs > 0 {
		m.service = time.Duration(r.MeanMs * float64(time.Millisecond))
	}
	m.others = max(0, r.InFlight+r.Queued-m.inFlight)
	m.othersAt = at
	if r.Leaving {
		m.fire(eventLeaving)
	}
}
