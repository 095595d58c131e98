package instance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

var testStart = time.Unix(1000, 0)

func member(name, domain string, incarnation, heartbeat int64) Member {
	return Member{
		EntryInstance: lovageyard.EntryInstance{Name: name, FailureDomain: domain, Region: domain[:1], Incarnation: incarnation, State: lovageyard.StateLive},
		Heartbeat:     heartbeat,
	}
}

func names(members []lovageyard.EntryInstance) []string {
	list := []string{}
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

func TestTableTracksLiveness(t *testing.T) {
	leaving := func(m Member) Member {
		m.State = lovageyard.StateLeaving
		return m
	}
	listed := func(state lovageyard.InstanceState, incarnation int64) []lovageyard.EntryInstance {
		i := member("peer", "a1", incarnation, 0).EntryInstance
		i.State = state
		return []lovageyard.EntryInstance{i}
	}
	for _, test := range []struct {
		name  string
		setUp func(table *Table)
		after time.Duration
		live  bool
	}{
		{"only listed", func(table *Table) { table.ApplyList(listed(lovageyard.StateLive, 1), testStart) }, time.Second, true},
		{"listed, no heartbeat", func(table *Table) { table.ApplyList(listed(lovageyard.StateLive, 1), testStart) }, SuspectTimeout, false},
		{"observed", func(table *Table) { table.Observe(member("peer", "a1", 1, 1), testStart) }, time.Second, true},
		{"silent although listed", func(table *Table) {
			table.Observe(member("peer", "a1", 1, 1), testStart)
			table.ApplyList(listed(lovageyard.StateLive, 1), testStart)
		}, SuspectTimeout, false},
		{"silent in another domain", func(table *Table) { table.Observe(member("peer", "b1", 1, 1), testStart) }, SuspectTimeout, true},
		{"silent for long in another domain", func(table *Table) { table.Observe(member("peer", "b1", 1, 1), testStart) }, 2 * RemoteSuspectTimeout, false},
		{"absent from the list", func(table *Table) {
			table.Observe(member("peer", "a1", 1, 1), testStart)
			table.ApplyList(nil, testStart)
		}, time.Second, true},
		{"reports that it is leaving", func(table *Table) {
			table.Observe(member("peer", "a1", 1, 1), testStart)
			table.Observe(leaving(member("peer", "a1", 1, 2)), testStart)
		}, 0, false},
		{"listed as leaving", func(table *Table) {
			table.Observe(member("peer", "a1", 1, 1), testStart)
			table.ApplyList(listed(lovageyard.StateLeaving, 1), testStart)
		}, 0, false},
		{"earlier incarnation listed as leaving", func(table *Table) {
			table.Observe(member("peer", "a1", 2, 1), testStart)
			table.ApplyList(listed(lovageyard.StateLeaving, 1), testStart)
		}, 0, true},
		{"new incarnation after leaving", func(table *Table) {
			table.Observe(leaving(member("peer", "a1", 1, 9)), testStart)
			table.Observe(member("peer", "a1", 2, 1), testStart)
		}, 0, true},
		{"report of an old incarnation", func(table *Table) {
			table.Observe(member("peer", "a1", 2, 1), testStart)
			table.Observe(leaving(member("peer", "a1", 1, 9)), testStart)
		}, 0, true},
		{"older heartbeat", func(table *Table) {
			table.Observe(member("peer", "a1", 1, 5), testStart)
			table.Observe(member("peer", "a1", 1, 4), testStart.Add(3*time.Second))
		}, SuspectTimeout, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable(member("self", "a1", 1, 0), testStart)
			test.setUp(table)
			table.Tick(testStart.Add(test.after))
			want := []string{"self"}
			if test.live {
				want = []string{"peer", "self"}
			}
			c.Assert(names(table.Live()), qt.DeepEquals, want)
		})
	}
}

func TestTableRemovesSilentMembers(t *testing.T) {
	c := qt.New(t)
	table := NewTable(member("self", "a1", 1, 0), testStart)
	table.Observe(member("peer", "a1", 1, 1), testStart)
	for s := range 300 {
		table.Tick(testStart.Add(time.Duration(s) * time.Second))
	}
	c.Assert(table.entries, qt.HasLen, 1)
}

func newInstances(domains, perDomain int) []lovageyard.EntryInstance {
	var list []lovageyard.EntryInstance
	for d := range domains {
		for n := range perDomain {
			m := member(fmt.Sprintf("entry-%d-%d", d, n), fmt.Sprintf("domain-%02d", d), 1, 1)
			m.Region = fmt.Sprintf("region-%d", d/3)
			list = append(list, m.EntryInstance)
		}
	}
	return list
}

func TestRank(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(newInstances(6, 2))
	firsts := make(map[string]int)
	for block := range uint64(1000) {
		r := d.Rank("domain-01", block*7919)
		c.Assert(r.Count, qt.Equals, MaxRanks)
		seen := make(map[int]bool)
		for _, p := range r.Positions {
			seen[p] = true
		}
		c.Assert(seen, qt.HasLen, MaxRanks)
		c.Assert(d.Instance(r.Positions[0]).FailureDomain, qt.Equals, "domain-01")
		c.Assert(d.Instance(r.Positions[1]).FailureDomain, qt.Equals, "domain-01")
		c.Assert(d.Instance(r.Positions[2]).Region, qt.Equals, "region-0")
		firsts[d.Instance(r.Positions[0]).Name]++
	}
	c.Assert(firsts, qt.HasLen, 2)
	for name, n := range firsts {
		c.Assert(n > 400, qt.IsTrue, qt.Commentf("%s is first %d times", name, n))
	}
	c.Assert(d.Rank("unknown", 1).Count, qt.Equals, MaxRanks)
	c.Assert(NewDirectory(nil).Rank("any", 1).Count, qt.Equals, 0)
	c.Assert(testing.AllocsPerRun(100, func() { d.Rank("domain-01", 5) }), qt.Equals, 0.0)
}

// TestRankMovesFewBlocks checks that the loss of an instance moves only its own blocks.
func TestRankMovesFewBlocks(t *testing.T) {
	c := qt.New(t)
	all := newInstances(1, 8)
	before := NewDirectory(all)
	after := NewDirectory(all[1:])
	for block := range uint64(1000) {
		was := before.Instance(before.Rank("domain-00", block).Positions[0]).Name
		is := after.Instance(after.Rank("domain-00", block).Positions[0]).Name
		if was != all[0].Name {
			c.Assert(is, qt.Equals, was)
		}
	}
}

// A relay with a narrow link receives a large change a second later than one with a wide link.
func TestRelaysAreThoseWithTheWidestLinks(t *testing.T) {
	c := qt.New(t)
	var live []lovageyard.EntryInstance
	for n, link := range []float64{10, 10, 200, 10, 200, 10, 200} {
		live = append(live, lovageyard.EntryInstance{Name: fmt.Sprint("entry-", n), FailureDomain: "north-1", LinkMbps: link})
	}
	wide := []string{"entry-2", "entry-4", "entry-6"}
	for _, name := range ChooseRelays(live, "north-1") {
		c.Assert(wide, qt.Contains, name)
	}
	// With only one wide link left, the second relay has a narrow one.
	relays := ChooseRelays(live[:4], "north-1")
	c.Assert(relays, qt.HasLen, RelaysPerDomain)
	c.Assert(relays[0], qt.Equals, "entry-2")
}

func TestChooseRelays(t *testing.T) {
	c := qt.New(t)
	all := newInstances(2, 5)
	relays := ChooseRelays(all, "domain-00")
	c.Assert(relays, qt.HasLen, RelaysPerDomain)
	var rest []lovageyard.EntryInstance
	for _, m := range all {
		if m.Name != relays[0] {
			rest = append(rest, m)
		}
	}
	c.Assert(ChooseRelays(rest, "domain-00")[0], qt.Equals, relays[1])
	c.Assert(ChooseRelays(nil, "domain-00"), qt.HasLen, 0)
}

// TestGossipRotatesThroughAllMembers checks that recent changes come first and that all members are sent in turn.
func TestGossipRotatesThroughAllMembers(t *testing.T) {
	c := qt.New(t)
	table := NewTable(member("self", "domain-00", 1, 0), testStart)
	all := newInstances(6, 10)
	for _, i := range all {
		table.Observe(Member{EntryInstance: i, Heartbeat: 1, Steps: []Step{{Class: "class"}}}, testStart)
	}
	const count = 12
	seen := make(map[string]bool)
	later := testStart.Add(recentPeriod)
	for range 20 {
		part := table.Gossip(count, later)
		c.Assert(len(part) <= count, qt.IsTrue)
		for _, m := range part {
			seen[m.Name] = true
			c.Assert(len(m.Steps) == 0, qt.Equals, m.FailureDomain != "domain-00" || m.Name == "self")
		}
	}
	c.Assert(seen, qt.HasLen, len(all)+1)
	leaving := Member{EntryInstance: all[59], Heartbeat: 2}
	leaving.State = lovageyard.StateLeaving
	table.Observe(leaving, later)
	c.Assert(table.Gossip(count, later)[0].Name, qt.Equals, all[59].Name)
}

// Heartbeats may arrive late by gossip. The suspect timeout counts from when the member sent its
// heartbeat, so that a late one does not make a crashed member live again.
func TestSuspectTimeoutStartsAtTheMembersHeartbeat(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	const timeout = 4 * time.Second
	table := NewTable(member("self", "north-1", 1, 1), start)
	table.SetSuspectTimeout(timeout)
	dead := member("dead", "north-1", 1, 1)
	table.Observe(dead, start)
	c.Assert(table.Live(), qt.HasLen, 2)

	// Its last heartbeat arrives late.
	dead.Heartbeat++
	dead.Age = 3 * time.Second
	now := start.Add(3 * time.Second)
	c.Assert(table.Observe(dead, now), qt.IsTrue)
	c.Assert(table.Tick(now.Add(900*time.Millisecond)), qt.IsFalse)
	c.Assert(table.Tick(now.Add(time.Second)), qt.IsTrue)
	c.Assert(table.Live(), qt.HasLen, 1)

	// One that is older than the timeout when it arrives does not make the member live.
	dead.Heartbeat++
	dead.Age = 5 * time.Second
	now = now.Add(2 * time.Second)
	table.Observe(dead, now)
	c.Assert(table.Live(), qt.HasLen, 1)

	// It is not passed on either.
	c.Assert(table.GossipForRegion("north", 10, now), qt.HasLen, 0)

	// A recent one is passed on with its age.
	dead.Heartbeat++
	dead.Age = time.Second
	table.Observe(dead, now)
	c.Assert(table.Live(), qt.HasLen, 2)
	passed := table.GossipForRegion("north", 10, now.Add(time.Second))
	c.Assert(passed, qt.HasLen, 1)
	c.Assert(passed[0].Age, qt.Equals, 2*time.Second)
}

// Look-ups return mostly instances of the client's region, so gossip for a region prefers its members.
func TestGossipPrefersOneRegion(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	table := NewTable(member("self", "north-1", 1, 1), start)
	table.SetSuspectTimeout(time.Hour)
	for i := range 30 {
		m := member(fmt.Sprintf("m-%02d", i), "north-1", 1, 1)
		if i%3 > 0 {
			m.Region = "south"
		}
		table.Observe(m, start)
	}
	later := start.Add(time.Minute)
	const count = 16
	counts := make(map[string]int)
	for _, m := range table.GossipForRegion("south", count, later) {
		counts[m.Region]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"south": 12, "n": 4})
}
