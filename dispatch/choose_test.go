package dispatch_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// yard is a table at an instance in the east, with servers in two regions.
type yard struct {
	c     *qt.C
	table *dispatch.Table
	view  *catalog.Snapshot
	route *lovageyard.Route
	now   time.Time
}

func newYard(t *testing.T) *yard {
	y := &yard{c: qt.New(t), now: time.Unix(1000, 0)}
	y.table = dispatch.NewTable(dispatch.Settings{
		Self: "entry", FailureDomain: "east-1", Region: "east",
		Bounds: dispatch.Bounds{
			Retries: dispatch.RetryBound{Ratio: 0.2, Window: 10 * time.Second, Slack: 10},
			Cold:    dispatch.ColdBound{Excess: 1, Slack: 0},
			Shift:   dispatch.ShiftBound{MaxChange: 0.15, Window: 2 * time.Second},
		},
	})
	y.view = &catalog.Snapshot{
		Configuration: &lovageyard.Configuration{
			Version: 1,
			Routes: []lovageyard.Route{{
				Name: "r", Idempotent: true, Goal: 200 * time.Millisecond, Sticky: true, Attempts: 2,
				Parts: []lovageyard.Part{{Service: "desk", Weight: 1}},
			}},
			Services: map[string]lovageyard.Service{"desk": {Name: "desk", ColdRate: 2}},
		},
		Drained: make(map[string]bool),
	}
	for _, region := range []string{"east", "west"} {
		for i := range 3 {
			y.view.Servers = append(y.view.Servers, catalog.Server{BackendServer: lovageyard.BackendServer{
				Name: fmt.Sprintf("%s-%d", region, i), Service: "desk", Region: region, FailureDomain: region + "-1",
				Slots: 2, State: lovageyard.StateLive,
			}})
		}
	}
	y.route = &y.view.Configuration.Routes[0]
	y.table.SetCatalog(y.view, y.now)
	return y
}

func (y *yard) choose(key string, tried ...string) dispatch.Choice {
	return y.table.Choose(dispatch.Request{
		Now: y.now, Route: y.route, Rank: y.route.Rank, Regions: y.route.HomeRegions, Service: "desk", Key: key, Tried: tried,
		Deadline: y.now.Add(time.Second),
	})
}

// run has a request answered after 100 ms and returns the server that it went to.
func (y *yard) run(key string) lovageyard.BackendServer {
	choice := y.choose(key)
	y.c.Assert(choice.Refused, qt.IsFalse)
	y.now = y.now.Add(100 * time.Millisecond)
	y.done(choice, dispatch.Outcome{Answered: true})
	return choice.Server
}

func (y *yard) done(choice dispatch.Choice, o dispatch.Outcome) {
	o.At = y.now
	y.table.Done(choice, o)
}

// An object runs at one server, whoever asks in the region: two instances that disagreed would
// run it cold twice.
func TestRequestsForAnObjectGoToItsHome(t *testing.T) {
	y, other := newYard(t), newYard(t)
	other.table = dispatch.NewTable(dispatch.Settings{Self: "another-entry", FailureDomain: "east-1", Region: "east", Seed: 7})
	other.table.SetCatalog(other.view, y.now)
	const objects = 600
	counts := make(map[string]int)
	for i := range objects {
		key := fmt.Sprint(i)
		first := y.run(key)
		y.c.Assert(y.run(key).Name, qt.Equals, first.Name)
		y.c.Assert(other.run(key).Name, qt.Equals, first.Name)
		counts[first.Name]++
	}
	y.c.Assert(counts, qt.HasLen, 6)
	// A server of the own region weighs twice as much: 2/9 of the objects each, 1/9 elsewhere.
	for name, count := range counts {
		weight := 1.0
		if strings.HasPrefix(name, "east") {
			weight = 2
		}
		expected := objects * weight / 9
		y.c.Check(math.Abs(float64(count)-expected) < 0.3*expected, qt.IsTrue, qt.Commentf("%s has %d", name, count))
	}
}

// A full home must not spread its objects over all servers, where they run cold: they go to one
// other server of its region while that has room, and are refused then.
func TestFullHomeHasOneStandIn(t *testing.T) {
	y := newYard(t)
	home := y.choose("k").Server
	slots := home.Slots
	standIns := make(map[string]int)
	for range 20 {
		choice := y.choose("k")
		if choice.Refused {
			y.c.Assert(choice.Cause, qt.Equals, dispatch.CauseHomeFull)
			y.c.Assert(choice.RetryAfter > 0, qt.IsTrue)
			y.c.Assert(choice.RetryAfter < time.Second, qt.IsTrue)
			y.c.Assert(standIns, qt.HasLen, 1)
			return
		}
		if choice.Server.Name == home.Name {
			continue
		}
		y.c.Assert(choice.Server.Region, qt.Equals, home.Region)
		standIns[choice.Server.Name]++
		y.c.Assert(standIns[choice.Server.Name] <= slots+slots/2, qt.IsTrue)
	}
	y.c.Fatal("no request was refused")
}

// A home that has become many times slower than its peers loses most of its objects' requests to
// their stand-ins; some go on telling whether it has recovered.
func TestSlowHomeHasAStandIn(t *testing.T) {
	y := newYard(t)
	const objects, rounds = 30, 40
	homes := make(map[string]string)
	for i := range objects {
		homes[fmt.Sprint(i)] = y.run(fmt.Sprint(i)).Name
	}
	asked, slow := 0, 0
	for i := range objects * rounds {
		key := fmt.Sprint(i % objects)
		if homes[key] == "east-0" {
			asked++
		}
		choice := y.table.Choose(dispatch.Request{
			Now: y.now, Route: y.route, Rank: y.route.Rank, Regions: y.route.HomeRegions, Service: "desk", Key: key, Deadline: y.now.Add(10 * time.Second),
		})
		y.c.Assert(choice.Refused, qt.IsFalse)
		y.now = y.now.Add(100 * time.Millisecond)
		if choice.Server.Name == "east-0" {
			slow++
			y.now = y.now.Add(1900 * time.Millisecond)
		}
		y.done(choice, dispatch.Outcome{Answered: true})
	}
	y.c.Assert(asked > 0, qt.IsTrue)
	y.c.Assert(slow < asked/2, qt.IsTrue, qt.Commentf("%d of %d", slow, asked))
}

// While a region is drained, its objects run at one server each: those that alternate between
// the other regions would run cold at both.
func TestObjectsOfADrainedRegionStayTogether(t *testing.T) {
	y := newYard(t)
	for i := range 3 {
		y.view.Servers = append(y.view.Servers, catalog.Server{BackendServer: lovageyard.BackendServer{
			Name: fmt.Sprintf("south-%d", i), Service: "desk", Region: "south", FailureDomain: "south-1",
			Slots: 2, State: lovageyard.StateLive,
		}})
	}
	y.view.Drained["east-1"] = true
	y.table.SetCatalog(y.view, y.now)
	regions := make(map[string]bool)
	for i := range 30 {
		key := fmt.Sprint(i)
		first := y.choose(key)
		again := y.choose(key)
		y.c.Assert(again.Server.Name, qt.Equals, first.Server.Name)
		y.done(first, dispatch.Outcome{Answered: true})
		y.done(again, dispatch.Outcome{Answered: true})
		regions[first.Server.Region] = true
	}
	y.c.Assert(regions, qt.DeepEquals, map[string]bool{"south": true, "west": true})
}

func TestServerThatDoesNotAnswerIsLeftAlone(t *testing.T) {
	y := newYard(t)
	first := y.choose("k")
	y.done(first, dispatch.Outcome{Failed: true})
	second := y.choose("k")
	y.c.Assert(second.Server.Name, qt.Not(qt.Equals), first.Server.Name)
	y.done(second, dispatch.Outcome{Answered: true})
	// It is tried again later, by one request at a time.
	y.now = y.now.Add(time.Minute)
	third := y.choose("k")
	y.c.Assert(third.Server.Name, qt.Equals, first.Server.Name)
	y.c.Assert(y.choose("k").Server.Name, qt.Not(qt.Equals), first.Server.Name)
	y.done(third, dispatch.Outcome{Answered: true})
	y.c.Assert(y.choose("k").Server.Name, qt.Equals, first.Server.Name)
}

// A home whose first runs are cold, and several times longer than the guess, is no slow server: its
// objects stay while it has room.
func TestColdRunsAtAStartDoNotMoveObjects(t *testing.T) {
	y := newYard(t)
	const goal, cold = 5 * time.Second, 10 * time.Second
	y.view.Configuration.Routes[0].Goal = goal
	y.table = dispatch.NewTable(dispatch.Settings{
		Self: "entry", FailureDomain: "east-1", Region: "east",
		Bounds: dispatch.Bounds{Shift: dispatch.ShiftBound{MaxChange: 0.15, Window: 2 * time.Second}},
	})
	y.table.SetCatalog(y.view, y.now)
	ask := func(key string) dispatch.Choice {
		return y.table.Choose(dispatch.Request{
			Now: y.now, Route: y.route, Rank: y.route.Rank, Regions: y.route.HomeRegions, Service: "desk", Key: key, Deadline: y.now.Add(time.Hour),
		})
	}
	first := ask("k")
	y.now = y.now.Add(cold)
	y.done(first, dispatch.Outcome{Answered: true})
	for range first.Server.Slots {
		y.c.Assert(ask("k").Server.Name, qt.Equals, first.Server.Name)
	}
}

// A failure domain that is cut off costs as many requests as show that it is, and one for each trial,
// not one for each of its servers.
func TestFailureDomainThatCannotBeReachedIsLeftAlone(t *testing.T) {
	y := newYard(t)
	for i := range 60 {
		y.view.Servers = append(y.view.Servers, catalog.Server{BackendServer: lovageyard.BackendServer{
			Name: fmt.Sprintf("far-%d", i), Service: "desk", Region: "west", FailureDomain: "west-2",
			Slots: 2, State: lovageyard.StateLive,
		}})
	}
	y.table.SetCatalog(y.view, y.now)
	ask := func(key string, cutOff bool) string {
		choice := y.choose(key)
		y.c.Assert(choice.Refused, qt.IsFalse)
		y.now = y.now.Add(20 * time.Millisecond)
		y.done(choice, dispatch.Outcome{Answered: !cutOff || choice.Server.FailureDomain != "west-2"})
		return choice.Server.FailureDomain
	}
	unanswered := 0
	for i := range 500 {
		if ask(fmt.Sprint(i), true) == "west-2" {
			unanswered++
		}
	}
	// 10 s at trials of every 2 s at last, after pauses of 0.4, 0.8 and 1.6 s.
	y.c.Assert(unanswered >= 3, qt.IsTrue)
	y.c.Assert(unanswered <= 12, qt.IsTrue, qt.Commentf("%d requests", unanswered))
	// It is back as soon as a trial is answered.
	y.now = y.now.Add(2 * time.Second)
	back := 0
	for i := range 100 {
		if ask(fmt.Sprint(i), false) == "west-2" {
			back++
		}
	}
	y.c.Assert(back > 50, qt.IsTrue, qt.Commentf("%d requests", back))
}

// One lost answer does not speak against a server that has answered others since.
func TestServerThatAnswersOthersIsNotLeftAlone(t *testing.T) {
	y := newYard(t)
	lost, other := y.choose("k"), y.choose("k")
	y.c.Assert(other.Server.Name, qt.Equals, lost.Server.Name)
	y.now = y.now.Add(100 * time.Millisecond)
	y.done(other, dispatch.Outcome{Answered: true})
	y.now = y.now.Add(100 * time.Millisecond)
	y.done(lost, dispatch.Outcome{Failed: true})
	y.c.Assert(y.choose("k").Server.Name, qt.Equals, lost.Server.Name)
}

// A server may be well by its entry and fail nearly all that it gets.
func TestServerThatFailsMostIsLeftAlone(t *testing.T) {
	y := newYard(t)
	ill := y.choose("k")
	name := ill.Server.Name
	const patience = 10
	failed := 0
	for ; ill.Server.Name == name; ill = y.choose("k") {
		y.done(ill, dispatch.Outcome{Answered: true, Failed: true})
		failed++
		y.c.Assert(failed < patience, qt.IsTrue)
		y.now = y.now.Add(50 * time.Millisecond)
	}
	next := ill.Server.Name
	y.done(ill, dispatch.Outcome{Answered: true})
	ill = y.choose("k")
	y.c.Assert(ill.Server.Name, qt.Equals, next)
	y.done(ill, dispatch.Outcome{Answered: true})

	// It is tried again later, and trusted once it serves.
	y.now = y.now.Add(time.Minute)
	again := y.choose("k")
	y.c.Assert(again.Server.Name, qt.Equals, name)
	y.done(again, dispatch.Outcome{Answered: true})
	y.c.Assert(y.choose("k").Server.Name, qt.Equals, name)
}

// A server that is full refuses what it can't take; that is no illness. The stand-in may take the
// object's requests meanwhile, but the home is not left alone, and has them back soon after.
func TestServerThatRefusesIsNotLeftAlone(t *testing.T) {
	y := newYard(t)
	home := y.choose("k")
	choice := home
	for range 10 {
		refused := choice.Server.Name == home.Server.Name
		y.done(choice, dispatch.Outcome{Answered: true, Failed: refused, NotRun: refused})
		y.c.Assert(y.table.Stats(y.now).Suspects, qt.Equals, 0)
		y.now = y.now.Add(50 * time.Millisecond)
		choice = y.choose("k")
		y.c.Assert(choice.Server.Region, qt.Equals, home.Server.Region)
	}
	y.done(choice, dispatch.Outcome{Answered: true})
	y.now = y.now.Add(10 * time.Second)
	y.c.Assert(y.choose("k").Server.Name, qt.Equals, home.Server.Name)
}

func TestAbandonedAttemptDoesNotSpeakAgainstTheServer(t *testing.T) {
	y := newYard(t)
	first := y.choose("k")
	y.done(first, dispatch.Outcome{Failed: true, Abandoned: true})
	y.c.Assert(y.choose("k").Server.Name, qt.Equals, first.Server.Name)
}

func TestServersThatMustNotGetWork(t *testing.T) {
	y := newYard(t)
	for i := range y.view.Servers {
		if y.view.Servers[i].Name == "east-0" {
			y.view.Servers[i].State = lovageyard.StateLeaving
		}
	}
	y.table.SetCatalog(y.view, y.now)
	// One has been replaced at its address.
	replaced := y.choose("other")
	y.done(replaced, dispatch.Outcome{Answered: true, NotRun: true, Misdirected: true})
	for i := range 60 {
		choice := y.choose(fmt.Sprint(i))
		y.c.Assert(choice.Server.Name, qt.Not(qt.Equals), "east-0")
		y.c.Assert(choice.Server.Name, qt.Not(qt.Equals), replaced.Server.Name)
		y.done(choice, dispatch.Outcome{Answered: true})
	}
	// A drained failure domain gets nothing at all.
	y.view.Drained["east-1"] = true
	y.table.SetCatalog(y.view, y.now)
	for i := range 10 {
		y.c.Assert(y.choose(fmt.Sprint(i)).Server.Region, qt.Equals, "west")
	}
}

func TestRoutesWithHomeRegionsStayThere(t *testing.T) {
	y := newYard(t)
	y.route.HomeRegions = []string{"west"}
	for i := range 10 {
		y.c.Assert(y.choose(fmt.Sprint(i)).Server.Region, qt.Equals, "west")
	}
	y.view.Drained["west-1"] = true
	y.table.SetCatalog(y.view, y.now)
	y.c.Assert(y.choose("k").Refused, qt.IsTrue)
}

func TestRepeatGoesToAnotherServer(t *testing.T) {
	y := newYard(t)
	first := y.choose("k")
	y.done(first, dispatch.Outcome{Answered: true, Failed: true})
	y.c.Assert(y.choose("k", first.Server.Name).Server.Name, qt.Not(qt.Equals), first.Server.Name)
}

func TestColdServerGetsItsShareOnly(t *testing.T) {
	y := newYard(t)
	for i := range y.view.Servers {
		y.view.Servers[i].ColdUntil = y.now.Add(time.Minute)
	}
	y.table.SetCatalog(y.view, y.now)
	counts := make(map[string]int)
	for i := range 200 {
		if choice := y.choose(fmt.Sprint(i)); !choice.Refused {
			counts[choice.Server.Name]++
			y.done(choice, dispatch.Outcome{Answered: true})
		}
	}
	for name, count := range counts {
		y.c.Assert(count <= 2, qt.IsTrue, qt.Commentf("%s got %d", name, count))
	}
	y.c.Assert(len(counts) > 0, qt.IsTrue)
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	y := newYard(t)
	choice := y.table.Choose(dispatch.Request{
		Now: y.now, Route: y.route, Rank: y.route.Rank, Regions: y.route.HomeRegions, Service: "desk", Key: "k", Deadline: y.now.Add(5 * time.Millisecond),
	})
	y.c.Assert(choice.Refused, qt.IsTrue)
	y.c.Assert(choice.Reason, qt.Equals, "the deadline can't be met")
}

// A server that starts again under its name has nothing of what was learnt of it: it is judged,
// loaded and warmed as a new one, and what is still under way at the old life ends there.
func TestNewLifeOfAServerIsJudgedAnew(t *testing.T) {
	y := newYard(t)
	y.view.Servers = y.view.Servers[:1]
	y.view.Servers[0].Life = 100
	y.table.SetCatalog(y.view, y.now)
	var held []dispatch.Choice
	for {
		choice := y.choose("k")
		if choice.Refused {
			break
		}
		held = append(held, choice)
	}
	y.c.Assert(len(held) > 1, qt.IsTrue)
	next := *y.view
	next.Servers = []catalog.Server{y.view.Servers[0]}
	next.Servers[0].Life = 200
	y.table.SetCatalog(&next, y.now)
	choice := y.choose("k")
	y.c.Assert(choice.Refused, qt.IsFalse)
	y.c.Assert(choice.Server.Life, qt.Equals, int64(200))
	y.c.Assert(choice.Wait, qt.Equals, time.Duration(0))
	// The end of requests at the old life teaches nothing about the new one.
	for _, h := range held {
		y.done(h, dispatch.Outcome{Failed: true})
	}
	y.done(choice, dispatch.Outcome{Answered: true})
	for range held {
		y.c.Assert(y.choose("k").Refused, qt.IsFalse)
	}
}
