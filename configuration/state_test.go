package configuration

import (
	"encoding/json"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

func classRow(name string, version int64, deleted bool) lovageyard.Row {
	value, err := json.Marshal(lovageyard.Class{Name: name})
	if err != nil {
		panic(err)
	}
	return lovageyard.Row{Table: lovageyard.TableClasses, Key: name, Version: version, Value: value, Deleted: deleted}
}

func TestApply(t *testing.T) {
	start := lovageyard.Changes{To: 5, Rows: []lovageyard.Row{classRow("a", 3, false), classRow("b", 5, false)}}
	for _, test := range []struct {
		name     string
		changes  lovageyard.Changes
		advanced bool
		gap      bool
		version  int64
		classes  int
	}{
		{"next", lovageyard.Changes{After: 5, To: 6, Rows: []lovageyard.Row{classRow("c", 6, false)}}, true, false, 6, 3},
		{"overlapping", lovageyard.Changes{After: 2, To: 6, Rows: []lovageyard.Row{classRow("a", 3, false), classRow("c", 6, false)}}, true, false, 6, 3},
		{"deleted", lovageyard.Changes{After: 5, To: 7, Rows: []lovageyard.Row{classRow("a", 7, true)}}, true, false, 7, 1},
		{"repeated", start, false, false, 5, 2},
		{"older", lovageyard.Changes{After: 0, To: 4, Rows: []lovageyard.Row{classRow("z", 4, false)}}, false, false, 5, 2},
		{"gap", lovageyard.Changes{After: 6, To: 9, Rows: []lovageyard.Row{classRow("z", 9, false)}}, false, true, 5, 2},
		{"full read", lovageyard.Changes{After: 0, To: 8, Rows: []lovageyard.Row{classRow("b", 5, false)}}, true, false, 8, 1},
		{"an older row within newer changes", lovageyard.Changes{After: 1, To: 6, Rows: []lovageyard.Row{classRow("b", 2, true)}}, true, false, 6, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewState()
			_, err := s.Apply(start)
			c.Assert(err, qt.IsNil)
			advanced, err := s.Apply(test.changes)
			c.Assert(advanced, qt.Equals, test.advanced)
			c.Assert(err != nil, qt.Equals, test.gap)
			c.Assert(s.Version(), qt.Equals, test.version)
			c.Assert(s.Classes(), qt.HasLen, test.classes)
		})
	}
}

// A replica that has applied the first changes only, up to any version, must catch up by applying the result of Since.
func TestSinceFromAnyVersion(t *testing.T) {
	c := qt.New(t)
	const versions = 20
	var all []lovageyard.Changes
	for v := int64(1); v <= versions; v++ {
		row := classRow(string(rune('a'+v%7)), v, v%5 == 0)
		all = append(all, lovageyard.Changes{After: v - 1, To: v, Rows: []lovageyard.Row{row}})
	}
	source := replicaOf(c, all)
	for at := range versions + 1 {
		replica := replicaOf(c, all[:at])
		c.Assert(replica.Version(), qt.Equals, int64(at))
		_, err := replica.Apply(source.Since(replica.Position()))
		c.Assert(err, qt.IsNil)
		c.Assert(replica.Classes(), qt.DeepEquals, source.Classes())
		c.Assert(replica.Version(), qt.Equals, int64(versions))
	}
}

// replicaOf returns a state to which changes have been applied one by one.
func replicaOf(c *qt.C, changes []lovageyard.Changes) *State {
	s := NewState()
	for _, change := range changes {
		_, err := s.Apply(change)
		c.Assert(err, qt.IsNil)
	}
	return s
}

func BenchmarkPlansAfterOneChange(b *testing.B) {
	for _, classes := range []int{25, 50, 100} {
		b.Run(strconv.Itoa(classes), func(b *testing.B) {
			s := NewState()
			value := encodedPlan(b)
			for n := range classes {
				row := lovageyard.Row{Table: lovageyard.TablePlans, Key: strconv.Itoa(n), Version: int64(n + 1), Value: value}
				if _, err := s.Apply(lovageyard.Changes{After: int64(n), To: int64(n + 1), Rows: []lovageyard.Row{row}}); err != nil {
					b.Fatal(err)
				}
			}
			s.Plans()
			for b.Loop() {
				next := s.Version() + 1
				row := lovageyard.Row{Table: lovageyard.TablePlans, Key: "0", Version: next, Value: value}
				if _, err := s.Apply(lovageyard.Changes{After: next - 1, To: next, Rows: []lovageyard.Row{row}}); err != nil {
					b.Fatal(err)
				}
				if len(s.Plans()) != classes {
					b.Fatal("Plans returned too few plans")
				}
			}
		})
	}
}

// encodedPlan returns a plan with 64 home failure domains, encoded in JSON.
func encodedPlan(b *testing.B) []byte {
	p := lovageyard.ClassPlan{Class: "class", Step: 1, Sites: []string{"one", "two"}}
	for n := range 64 {
		p.Homes = append(p.Homes, lovageyard.HomePlacement{FailureDomain: strconv.Itoa(n), Buckets: make([]int, lovageyard.Buckets)})
	}
	value, err := json.Marshal(p)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

// A replica that starts with a full read does not know which rows were deleted before. A peer that
// missed such a deletion must still learn of it.
func TestSinceIncludesRemovalsBeforeFullRead(t *testing.T) {
	c := qt.New(t)
	peer := NewState()
	_, err := peer.Apply(lovageyard.Changes{To: 5, Rows: []lovageyard.Row{classRow("a", 3, false), classRow("b", 5, false)}})
	c.Assert(err, qt.IsNil)
	fresh := NewState()
	_, err = fresh.Apply(lovageyard.Changes{To: 9, Rows: []lovageyard.Row{classRow("b", 5, false)}})
	c.Assert(err, qt.IsNil)
	_, err = peer.Apply(fresh.Since(peer.Position()))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.Classes(), qt.DeepEquals, []lovageyard.Class{{Name: "b"}})
	c.Assert(peer.Version(), qt.Equals, int64(9))
}

// A store that was restored from an older copy assigns versions again.
func TestChangesAfterARestoreAreApplied(t *testing.T) {
	c := qt.New(t)
	row := func(version int64, value string) lovageyard.Row {
		return lovageyard.Row{Table: lovageyard.TableClasses, Key: "a", Version: version, Value: []byte(value)}
	}
	s := NewState()
	_, err := s.Apply(lovageyard.Changes{Era: 1, To: 9, Rows: []lovageyard.Row{row(9, "before")}})
	c.Assert(err, qt.IsNil)
	_, err = s.Apply(lovageyard.Changes{Era: 2, After: 9, To: 10, Rows: []lovageyard.Row{row(10, "gap")}})
	c.Assert(err, qt.ErrorMatches, ".*no full read.*")
	advanced, err := s.Apply(lovageyard.Changes{Era: 2, To: 8, Rows: []lovageyard.Row{row(8, "after")}})
	c.Assert(err, qt.IsNil)
	c.Assert(advanced, qt.IsTrue)
	late, err := s.Apply(lovageyard.Changes{Era: 1, To: 20, Rows: []lovageyard.Row{row(20, "late")}})
	c.Assert(err, qt.IsNil)
	c.Assert(late, qt.IsFalse)
	known, _ := s.Row(lovageyard.TableClasses, "a")
	c.Assert(string(known.Value), qt.Equals, "after")
	whole := s.Since(lovageyard.Position{Era: 1, Version: 20})
	c.Assert(whole.After, qt.Equals, int64(0))
	c.Assert(whole.Rows, qt.HasLen, 1)
}
