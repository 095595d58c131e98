package detour

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/meter"
)

// Limits of the detection of a partition.
const (
	// minUnanswered is the number of servers at which attempts must have failed since the last answer, and
	// minSilence the time since then. Some servers fail together without a partition, such as those of a
	// failure domain that loses power, but others answer meanwhile.
	minUnanswered = 3
	minSilence    = 250 * time.Millisecond
)

// States and events of a Path.
const (
	stateDirect   = "direct"
	stateIndirect = "indirect"
	eventLose     = "lose"
	eventRegain   = "regain"
)

// Path tells whether this instance reaches the backend servers itself. It is safe for concurrent use.
type Path struct {
	logger  *logrus.Logger
	metrics *meter.Set
	// changed is called after each change with whether the path is lost; it may be nil.
	changed func(lost bool)

	mu      sync.Mutex
	machine *fsm.FSM
	// answeredAt is when a server last answered, or the first failure if none has.
	answeredAt time.Time
	// unanswered holds the servers at which attempts have failed since the last answer.
	unanswered map[string]bool
}

// NewPath returns a Path that is assumed to work. changed is called after each change with whether the path
// is lost; it may be nil.
func NewPath(logger *logrus.Logger, metrics *meter.Set, changed func(lost bool)) *Path {
	return &Path{
		logger:     logger,
		metrics:    metrics,
		changed:    changed,
		unanswered: make(map[string]bool),
		machine: fsm.NewFSM(stateDirect, fsm.Events{
			{Name: eventLose, Src: []string{stateDirect}, Dst: stateIndirect},
			{Name: eventRegain, Src: []string{stateIndirect}, Dst: stateDirect},
		}, nil),
	}
}

// IsDirect reports whether requests can be sent on the direct path.
func (p *Path) IsDirect() bool {
	return p.machine.Is(stateDirect)
}

// RecordAnswer records an answer of a server on the direct path.
func (p *Path) RecordAnswer(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = at
	clear(p.unanswered)
}

// RecordFailure records an attempt on the direct path to which the server has not answered. It returns true
// if the path is lost by that.
func (p *Path) RecordFailure(server string, at time.Time) bool {
	if !p.addFailure(server, at) {
		return false
	}
	return p.fire(eventLose, "no backend server can be reached; requests are sent through other instances")
}

// addFailure reports whether the path has failed.
func (p *Path) addFailure(server string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered[server] = true
	if p.answeredAt.IsZero() {
		p.answeredAt = at
	}
	return len(p.unanswered) >= minUnanswered && at.Sub(p.answeredAt) >= minSilence
}

// Regain records that servers can be reached again.
func (p *Path) Regain(at time.Time) {
	p.RecordAnswer(at)
	p.fire(eventRegain, "backend servers can be reached again")
}

// fire triggers an event, and reports whether that has changed the state.
func (p *Path) fire(event, message string) bool {
	if p.machine.Event(context.Background(), event) != nil {
		// The state has changed already.
		return false
	}
	lost := event == eventLose
	p.logger.WithField("path", p.machine.Current()).Warn(message)
	p.metrics.Update(meter.PathLost, toInt(lost))
	if p.changed != nil {
		p.changed(lost)
	}
	return true
}

func toInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
