package instance

import (
	"context"

	"github.com/looplab/fsm"

	"lovageyard.example/lovageyard"
)

// The states of an entry instance as another one judges it.
const (
	stateListed  = "listed"
	stateLive    = "live"
	stateSuspect = "suspect"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// The events that change the judgement.
const (
	eventHeard   = "heard"
	eventSilent  = "silent"
	eventLeaving = "leaving"
	eventExpired = "expired"
	eventNewLife = "new-life"
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(stateListed, fsm.Events{
		{Name: eventHeard, Src: []string{stateListed, stateLive, stateSuspect}, Dst: stateLive},
		{Name: eventSilent, Src: []string{stateListed, stateLive}, Dst: stateSuspect},
		{Name: eventLeaving, Src: []string{stateListed, stateLive, stateSuspect}, Dst: stateLeaving},
		{Name: eventExpired, Src: []string{stateSuspect, stateLeaving}, Dst: stateGone},
		{Name: eventNewLife, Src: []string{stateListed, stateLive, stateSuspect, stateLeaving, stateGone}, Dst: stateLive},
	}, fsm.Callbacks{})
}

// fire applies an event; one that the state does not know changes nothing.
func fire(m *fsm.FSM, event string) {
	if m.Can(event) {
		_ = m.Event(context.Background(), event)
	}
}

func takesWork(state string) bool {
	return state == stateListed || state == stateLive
}

func reported(state string) lovageyard.InstanceState {
	switch state {
	case stateListed, stateLive:
		return lovageyard.StateLive
	case stateLeaving:
		return lovageyard.StateLeaving
	}
	return lovageyard.StateGone
}
