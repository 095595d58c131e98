package instance

import (
	"slices"
	"strings"
	"time"

	"github.com/looplab/fsm"

	"lovageyard.example/lovageyard"
)

// Limits of silence after which an instance is judged anew.
const (
	// SuspectAfter is the silence after which an instance of the own failure domain leaves look-ups.
	SuspectAfter = 4 * time.Second
	// RemoteSuspectAfter is the same for other failure domains, whose word comes through others.
	RemoteSuspectAfter = 15 * time.Second
	// ForgetAfter is the further silence after which an instance is gone.
	ForgetAfter = time.Minute
)

// Member is what an entry instance says of itself.
type Member struct {
	lovageyard.EntryInstance
	// Heartbeat grows with each exchange within one life.
	Heartbeat int64
	// Version is the configuration version in force there.
	Version int64
	// Steps are the plan steps in force there.
	Steps []Step
}

// Step tells how far an instance is with the plan of one class.
type Step struct {
	Class string
	// Begun is the plan step that the instance moves to.
	Begun int64
	// Settled is the plan step that the instance applies in full.
	Settled int64
	// Left is the share of the instance's work that still has to move.
	Left float64
}

type entry struct {
	member  Member
	machine *fsm.FSM
	changed time.Time
	heard   bool
	listed  bool
}

// Table holds the known entry instances; its owner calls it from one goroutine.
type Table struct {
	self    string
	domain  string
	entries map[string]*entry
}

// NewTable returns the table of an instance that knows only itself.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{
		self:    self.Name,
		domain:  self.FailureDomain,
		entries: make(map[string]*entry),
	}
	t.Hear(self, now)
	return t
}

// Hear takes in what a member says of itself, at first or second hand, and says
// whether it was news. An older life or an older heartbeat is ignored.
func (t *Table) Hear(m Member, now time.Time) bool {
	e := t.entries[m.Name]
	if e == nil {
		e = &entry{machine: newMachine(), changed: now}
		t.entries[m.Name] = e
	}
	if e.heard && !newer(m, e.member) {
		return false
	}
	if e.heard && m.Life > e.member.Life {
		fire(e.machine, eventNewLife)
	}
	e.member = m
	e.heard = true
	e.changed = now
	if m.State == lovageyard.StateLive {
		fire(e.machine, eventHeard)
	} else {
		fire(e.machine, eventLeaving)
	}
	return true
}

func newer(m, known Member) bool {
	if m.Life != known.Life {
		return m.Life > known.Life
	}
	return m.Heartbeat > known.Heartbeat
}

// List takes in the platform's list. It introduces instances and marks those that
// leave; it never overrules what an instance said itself, and absence removes nothing.
func (t *Table) List(instances []lovageyard.EntryInstance, now time.Time) {
	for _, listed := range instances {
		e := t.entries[listed.Name]
		if e == nil {
			e = &entry{machine: newMachine(), changed: now}
			t.entries[listed.Name] = e
		}
		if !e.heard {
			e.member.EntryInstance = listed
			if !e.listed {
				e.changed = now
			}
		}
		e.listed = true
		if listed.State != lovageyard.StateLive && listed.Life >= e.member.Life && listed.Name != t.self {
			fire(e.machine, eventLeaving)
		}
	}
}

// Tick judges the silence of all members and says whether any judgement changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for name, e := range t.entries {
		if name == t.self {
			continue
		}
		before := e.machine.Current()
		silence := now.Sub(e.changed)
		if silence >= t.patience(e) {
			fire(e.machine, eventSilent)
		}
		if silence >= t.patience(e)+ForgetAfter {
			fire(e.machine, eventExpired)
		}
		if e.machine.Current() == stateGone && silence >= t.patience(e)+2*ForgetAfter {
			delete(t.entries, name)
		}
		changed = changed || before != e.machine.Current()
	}
	return changed
}

func (t *Table) patience(e *entry) time.Duration {
	if e.member.FailureDomain == t.domain {
		return SuspectAfter
	}
	return RemoteSuspectAfter
}

// Known returns the members that are not gone, in the order of their names, with
// the states that this instance judges them to be in.
func (t *Table) Known() []Member {
	var members []Member
	for _, e := range t.entries {
		m := e.member
		m.State = reported(e.machine.Current())
		if m.State != lovageyard.StateGone {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Heard returns the members that have spoken and are not gone, as they described themselves.
func (t *Table) Heard() []Member {
	var members []Member
	for _, e := range t.entries {
		if e.heard && e.machine.Current() != stateGone {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Live returns the instances that take new work, in the order of their names.
func (t *Table) Live() []Member {
	var members []Member
	for _, e := range t.entries {
		if takesWork(e.machine.Current()) {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Neighbours returns the other instances of the own failure domain that may still serve callers.
func (t *Table) Neighbours() []Member {
	var members []Member
	for name, e := range t.entries {
		state := e.machine.Current()
		if name != t.self && e.member.FailureDomain == t.domain && (takesWork(state) || state == stateLeaving) {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

func byName(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
