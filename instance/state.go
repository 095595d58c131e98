package instance

import (
	"context"

	"github.com/looplab/fsm"

	"lovageyard.example/lovageyard"
)

// The liveness states of an entry instance as observed by this one.
const (
	stateListed  = "listed"
	stateLive    = "live"
	stateSuspect = "suspect"
	stateLeaving = "leaving"
	stateRemoved = "gone"
)

// The events that change the liveness state.
const (
	eventObserved       = "heard"
	eventTimeout        = "silent"
	eventLeaving        = "leaving"
	eventExpired        = "expired"
	eventNewIncarnation = "new-life"
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(stateListed, fsm.Events{
		{Name: eventObserved, Src: []string{stateListed, stateLive, stateSuspect}, Dst: stateLive},
		{Name: eventTimeout, Src: []string{stateListed, stateLive}, Dst: stateSuspect},
		{Name: eventLeaving, Src: []string{stateListed, stateLive, stateSuspect}, Dst: stateLeaving},
		{Name: eventExpired, Src: []string{stateSuspect, stateLeaving}, Dst: stateRemoved},
		{Name: eventNewIncarnation, Src: []string{stateListed, stateLive, stateSuspect, stateLeaving, stateRemoved}, Dst: stateLive},
	}, fsm.Callbacks{})
}

// fire applies an event; it does nothing if the current state has no transition for it.
func fire(m *fsm.FSM, event string) {
	if m.Can(event) {
		_ = m.Event(context.Background(), event)
	}
}

func acceptsWork(state string) bool {
	return state == stateListed || state == stateLive
}

func externalState(state string) lovageyard.InstanceState {
	switch state {
	case stateListed, stateLive:
		return lovageyard.StateLive
	case stateLeaving:
		return lovageyard.StateLeaving
	}
	return lovageyard.StateGone
}
