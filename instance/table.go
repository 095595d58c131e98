package instance

import (
	"slices"
	"strings"
	"time"

	"github.com/looplab/fsm"

	"lovageyard.example/lovageyard"
)

// Timeouts for members whose heartbeats stop.
const (
	// SuspectTimeout is the time without a heartbeat after which an instance of the same failure
	// domain is suspect and left out of look-ups.
	SuspectTimeout = 5 * time.Second
	// RemoteSuspectTimeout is the minimum of that time for instances of other failure domains, whose
	// heartbeats arrive by gossip.
	RemoteSuspectTimeout = 15 * time.Second
	// remoteSuspectTimeoutPerMember is added for each known instance, because with more instances each
	// one is included in gossip less often.
	remoteSuspectTimeoutPerMember = 200 * time.Millisecond
	// ForgetTimeout is the time after the suspect timeout at which an instance is removed.
	ForgetTimeout = time.Minute
)

// Member is an entry instance's description of itself.
type Member struct {
	lovageyard.EntryInstance
	// Heartbeat is a counter that grows within one incarnation.
	Heartbeat int64
	// Version is the configuration version in force at the member.
	Version int64
	// Steps holds the member's progress, by class.
	Steps []Step
	// Utilisation is the used fraction of the member's capacity; it is valid only if UtilisationKnown is set. It is
	// not part of EntryInstance, as a change of it is no change of the member's description.
	Utilisation      float64
	UtilisationKnown bool
	// Age is how old the description was when it was received; it is 0 for direct messages.
	Age time.Duration
}

// Step is an instance's progress with the plan of one class.
type Step struct {
	Class string
	// Started is the newest plan step that the instance has started to apply.
	Started int64
	// Completed is the newest plan step that the instance has applied in full.
	Completed int64
	// Remaining is the share, 0 to 1, of the instance's demand that still has to move.
	Remaining float64
}

type entry struct {
	member  Member
	machine *fsm.FSM
	// lastSeen is when the member sent its last heartbeat, or when it was first listed.
	lastSeen time.Time
	// changedAt is when the liveness state or the description last changed.
	changedAt time.Time
	observed  bool
	listed    bool
}

// Table holds the known entry instances. It is not safe for concurrent use.
type Table struct {
	self    string
	domain  string
	entries map[string]*entry
	// live and relays are caches; they are recomputed after a change of a liveness state.
	live   []lovageyard.EntryInstance
	relays map[string][]string
	// rotation counts the selections of members for gossip, which cover all members in turn.
	rotation int
	// fixedTimeout is the suspect timeout of every member if it is above 0; see SetSuspectTimeout.
	fixedTimeout time.Duration
}

// SetSuspectTimeout sets the same suspect timeout for all members, whatever their failure domain. It
// is for fleets whose members gossip with random peers of all domains, so that heartbeats spread quickly.
func (t *Table) SetSuspectTimeout(timeout time.Duration) {
	t.fixedTimeout = timeout
}

// NewTable returns a table that contains only the instance itself.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{
		self:    self.Name,
		domain:  self.FailureDomain,
		entries: make(map[string]*entry),
	}
	t.Observe(self, now)
	return t
}

// Observe applies a member's description, received directly or by gossip, and reports whether it
// was new. A description with an older incarnation or heartbeat is ignored.
func (t *Table) Observe(m Member, now time.Time) bool {
	e := t.entries[m.Name]
	if e == nil {
		e = &entry{machine: newMachine(), lastSeen: now}
		t.entries[m.Name] = e
	}
	if e.observed && !isNewer(m, e.member) {
		return false
	}
	if e.observed && m.Incarnation > e.member.Incarnation {
		fire(e.machine, eventNewIncarnation)
	}
	before := e.machine.Current()
	described := e.member.EntryInstance
	if sent := now.Add(-m.Age); !e.observed || sent.After(e.lastSeen) {
		e.lastSeen = sent
	}
	e.member = m
	e.observed = true
	switch {
	case m.State != lovageyard.StateLive:
		fire(e.machine, eventLeaving)
	case now.Sub(e.lastSeen) < t.suspectTimeout(e):
		fire(e.machine, eventObserved)
	}
	if described != m.EntryInstance || before != e.machine.Current() {
		t.invalidate(e, now)
	}
	return true
}

// invalidate records a change of a member and drops the cached lists.
func (t *Table) invalidate(e *entry, now time.Time) {
	e.changedAt = now
	t.live = nil
	t.relays = nil
}

func isNewer(m, known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Heartbeat > known.Heartbeat
}

// ApplyList applies the platform's list. It adds unknown instances and marks those that are
// leaving. It never overrides an instance's own description, and removes no instance that it lacks.
func (t *Table) ApplyList(instances []lovageyard.EntryInstance, now time.Time) {
	for _, listed := range instances {
		e := t.entries[listed.Name]
		if e == nil {
			e = &entry{machine: newMachine(), lastSeen: now}
			t.entries[listed.Name] = e
			t.invalidate(e, now)
		}
		before := e.machine.Current()
		if !e.observed && e.member.EntryInstance != listed {
			e.member.EntryInstance = listed
			t.invalidate(e, now)
			if !e.listed {
				e.lastSeen = now
			}
		}
		e.listed = true
		if listed.State != lovageyard.StateLive && listed.Incarnation >= e.member.Incarnation && listed.Name != t.self {
			fire(e.machine, eventLeaving)
		}
		if before != e.machine.Current() {
			t.invalidate(e, now)
		}
	}
}

// Tick applies the timeouts to all members and reports whether the liveness state of any changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for name, e := range t.entries {
		if name == t.self {
			continue
		}
		before := e.machine.Current()
		elapsed := now.Sub(e.lastSeen)
		if elapsed >= t.suspectTimeout(e) {
			fire(e.machine, eventTimeout)
		}
		if elapsed >= t.suspectTimeout(e)+ForgetTimeout {
			fire(e.machine, eventExpired)
		}
		if e.machine.Current() == stateRemoved && elapsed >= t.suspectTimeout(e)+2*ForgetTimeout {
			delete(t.entries, name)
		}
		if before != e.machine.Current() {
			t.invalidate(e, now)
			changed = true
		}
	}
	return changed
}

func (t *Table) suspectTimeout(e *entry) time.Duration {
	if t.fixedTimeout > 0 {
		return t.fixedTimeout
	}
	if e.member.FailureDomain == t.domain {
		return SuspectTimeout
	}
	return RemoteSuspectTimeout + time.Duration(len(t.entries))*remoteSuspectTimeoutPerMember
}

// Members returns the members that are not removed, ordered by name, with the states in which this
// instance sees them.
func (t *Table) Members() []Member {
	var members []Member
	for _, e := range t.entries {
		m := e.member
		m.State = externalState(e.machine.Current())
		if m.State != lovageyard.StateGone {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Observed returns the members that are not removed and of which a heartbeat was received, ordered
// by name, as they described themselves.
func (t *Table) Observed() []Member {
	var members []Member
	for _, e := range t.entries {
		if e.observed && e.machine.Current() != stateRemoved {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

// Live returns the instances that accept new requests, ordered by name. The caller must not change the list.
func (t *Table) Live() []lovageyard.EntryInstance {
	if t.live != nil {
		return t.live
	}
	for _, e := range t.entries {
		if acceptsWork(e.machine.Current()) {
			t.live = append(t.live, e.member.EntryInstance)
		}
	}
	slices.SortFunc(t.live, func(a, b lovageyard.EntryInstance) int {
		return strings.Compare(a.Name, b.Name)
	})
	return t.live
}

// Relays returns the names of the relays of a failure domain, as ChooseRelays selects them from
// the live instances.
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

// Find returns the member with a name, and whether it is known. The member may be suspect or removed.
func (t *Table) Find(name string) (Member, bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

// recentPeriod is how long a member that changed has priority in gossip.
const recentPeriod = 30 * time.Second

// Gossip returns up to count members to send to a peer. Up to a quarter are members that changed
// recently; the rest rotates through all members, half of it for this instance's failure domain. The
// steps of members of other failure domains are left out, as only neighbours need them.
func (t *Table) Gossip(count int, now time.Time) []Member {
	isPreferred := func(m Member) bool { return m.FailureDomain == t.domain }
	return t.dropRemoteSteps(t.selectMembers(t.Observed(), count, now, isPreferred, 0.5))
}

// regionShare is the share of GossipForRegion's rotation that is for members of the region.
const regionShare = 0.75

// GossipForRegion returns up to count members to send to a peer. Up to a quarter are members that
// changed recently; the rest rotates through all members, most of it for the given region. Members whose
// suspect timeout has passed are left out.
func (t *Table) GossipForRegion(region string, count int, now time.Time) []Member {
	observed := slices.DeleteFunc(t.Observed(), func(m Member) bool {
		e := t.entries[m.Name]
		return now.Sub(e.lastSeen) >= t.suspectTimeout(e)
	})
	isPreferred := func(m Member) bool { return m.Region == region }
	chosen := t.selectMembers(observed, count, now, isPreferred, regionShare)
	for i := range chosen {
		chosen[i].Age = now.Sub(t.entries[chosen[i].Name].lastSeen)
	}
	return t.dropRemoteSteps(chosen)
}

// selectMembers returns up to count members. Up to a quarter are members that changed recently; of the
// rest, the given share rotates through the preferred members and the remainder through the others.
func (t *Table) selectMembers(members []Member, count int, now time.Time, isPreferred func(Member) bool, share float64) []Member {
	if len(members) <= count {
		return members
	}
	t.rotation++
	var selected []Member
	for _, m := range members {
		if len(selected) < count/4 && now.Sub(t.entries[m.Name].changedAt) < recentPeriod {
			selected = append(selected, m)
		}
	}
	preferred := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !isPreferred(m) })
	others := slices.DeleteFunc(members, isPreferred)
	preferredCount := int(share * float64(count-len(selected)))
	selected = append(selected, rotatingWindow(preferred, t.rotation, min(preferredCount, len(preferred)))...)
	return append(selected, rotatingWindow(others, t.rotation, min(count-len(selected), len(others)))...)
}

// rotatingWindow returns count elements of a list; successive rotations cover the whole list.
func rotatingWindow(list []Member, rotation, count int) []Member {
	var part []Member
	for i := range count {
		part = append(part, list[(rotation*count+i)%len(list)])
	}
	return part
}

func (t *Table) dropRemoteSteps(members []Member) []Member {
	for i := range members {
		if members[i].FailureDomain != t.domain {
			members[i].Steps = nil
		}
	}
	return members
}

// Neighbours returns the other instances of this instance's failure domain that may still serve
// requests, including those that are leaving, ordered by name.
func (t *Table) Neighbours() []Member {
	var members []Member
	for name, e := range t.entries {
		state := e.machine.Current()
		if name != t.self && e.member.FailureDomain == t.domain && (acceptsWork(state) || state == stateLeaving) {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, byName)
	return members
}

func byName(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
