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
	SuspectAfter = 5 * time.Second
	// RemoteSuspectAfter is the least silence for other failure domains, whose word comes through others.
	RemoteSuspectAfter = 15 * time.Second
	// remoteSuspectPerMember is added for each known instance, as word of it comes round less often.
	remoteSuspectPerMember = 200 * time.Millisecond
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
	// Age is how old this word was when it came; word that came through others has an age.
	Age time.Duration
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
	// changed is when the member last spoke, or when it was first listed.
	changed time.Time
	// news is when the judgement or the description changed last.
	news   time.Time
	heard  bool
	listed bool
}

// Table holds the known entry instances; its owner calls it from one goroutine.
type Table struct {
	self    string
	domain  string
	entries map[string]*entry
	// live and relays are worked out anew after a change of judgement.
	live   []lovageyard.EntryInstance
	relays map[string][]string
	turn   int
	// silence is the patience with every member, if set; see SetPatience.
	silence time.Duration
}

// SetPatience sets one patience for all members, wherever they are: for fleets whose
// members exchange directly with random others, so that word is never long on its way.
func (t *Table) SetPatience(silence time.Duration) {
	t.silence = silence
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
	if e.heard && m.Incarnation > e.member.Incarnation {
		fire(e.machine, eventNewLife)
	}
	before := e.machine.Current()
	described := e.member.EntryInstance
	if spoke := now.Add(-m.Age); !e.heard || spoke.After(e.changed) {
		e.changed = spoke
	}
	e.member = m
	e.heard = true
	switch {
	case m.State != lovageyard.StateLive:
		fire(e.machine, eventLeaving)
	case now.Sub(e.changed) < t.patience(e):
		fire(e.machine, eventHeard)
	}
	if described != m.EntryInstance || before != e.machine.Current() {
		t.note(e, now)
	}
	return true
}

// note drops what was worked out from the judgements.
func (t *Table) note(e *entry, now time.Time) {
	e.news = now
	t.live = nil
	t.relays = nil
}

func newer(m, known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
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
			t.note(e, now)
		}
		before := e.machine.Current()
		if !e.heard && e.member.EntryInstance != listed {
			e.member.EntryInstance = listed
			t.note(e, now)
			if !e.listed {
				e.changed = now
			}
		}
		e.listed = true
		if listed.State != lovageyard.StateLive && listed.Incarnation >= e.member.Incarnation && listed.Name != t.self {
			fire(e.machine, eventLeaving)
		}
		if before != e.machine.Current() {
			t.note(e, now)
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
		if before != e.machine.Current() {
			t.note(e, now)
			changed = true
		}
	}
	return changed
}

func (t *Table) patience(e *entry) time.Duration {
	if t.silence > 0 {
		return t.silence
	}
	if e.member.FailureDomain == t.domain {
		return SuspectAfter
	}
	return RemoteSuspectAfter + time.Duration(len(t.entries))*remoteSuspectPerMember
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

// Live returns the instances that take new work, in the order of their names; callers
// do not change the list.
func (t *Table) Live() []lovageyard.EntryInstance {
	if t.live != nil {
		return t.live
	}
	for _, e := range t.entries {
		if takesWork(e.machine.Current()) {
			t.live = append(t.live, e.member.EntryInstance)
		}
	}
	slices.SortFunc(t.live, func(a, b lovageyard.EntryInstance) int {
		return strings.Compare(a.Name, b.Name)
	})
	return t.live
}

// Relays returns the names of the relays of a failure domain.
func (t *Table) Relays(failureDomain string) []string {
	if t.relays == nil {
		t.relays = make(map[string][]string)
	}
	known, found := t.relays[failureDomain]
	if !found {
		known = ChooseRelays(t.Live(), failureDomain)
		t.relays[failureDomain] = known
	}
	return known
}

// Find returns the member of a name, and whether it is known.
func (t *Table) Find(name string) (Member, bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

// newsFor is how long news goes ahead of other members in Gossip.
const newsFor = 30 * time.Second

// Gossip returns up to a number of members to tell a peer of: a quarter of it for news,
// the rest by turns, half for the own failure domain and half for others. The steps of
// other failure domains' members are left out, as only neighbours need them.
func (t *Table) Gossip(count int, now time.Time) []Member {
	isFirst := func(m Member) bool { return m.FailureDomain == t.domain }
	return t.trim(t.choose(t.Heard(), count, now, isFirst, 0.5))
}

// regionShare is the part of GossipOf's turns that is for members of the region.
const regionShare = 0.75

// GossipOf returns up to a number of members to tell a peer of: a quarter of it for news, the
// rest by turns, most of that for members of one region. Members that have been silent for
// too long are left out.
func (t *Table) GossipOf(region string, count int, now time.Time) []Member {
	heard := slices.DeleteFunc(t.Heard(), func(m Member) bool {
		e := t.entries[m.Name]
		return now.Sub(e.changed) >= t.patience(e)
	})
	isFirst := func(m Member) bool { return m.Region == region }
	chosen := t.choose(heard, count, now, isFirst, regionShare)
	for i := range chosen {
		chosen[i].Age = now.Sub(t.entries[chosen[i].Name].changed)
	}
	return t.trim(chosen)
}

// choose returns up to a number of members: a quarter of it for news, and of the rest a
// share by turns for the members that go first.
func (t *Table) choose(members []Member, count int, now time.Time, isFirst func(Member) bool, share float64) []Member {
	if len(members) <= count {
		return members
	}
	t.turn++
	var chosen []Member
	for _, m := range members {
		if len(chosen) < count/4 && now.Sub(t.entries[m.Name].news) < newsFor {
			chosen = append(chosen, m)
		}
	}
	first := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !isFirst(m) })
	others := slices.DeleteFunc(members, isFirst)
	forFirst := int(share * float64(count-len(chosen)))
	chosen = append(chosen, window(first, t.turn, min(forFirst, len(first)))...)
	return append(chosen, window(others, t.turn, min(count-len(chosen), len(others)))...)
}

// window returns the part of a list whose turn it is.
func window(list []Member, turn, count int) []Member {
	var part []Member
	for i := range count {
		part = append(part, list[(turn*count+i)%len(list)])
	}
	return part
}

func (t *Table) trim(members []Member) []Member {
	for i := range members {
		if members[i].FailureDomain != t.domain {
			members[i].Steps = nil
		}
	}
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
