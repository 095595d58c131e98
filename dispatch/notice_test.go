package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// hear has an answer of a server ask for something.
func (y *yard) hear(server string, n lovageyard.Notice) {
	y.table.Observe(y.listed(server).BackendServer, n, y.now, y.now)
}

func (y *yard) listed(server string) *catalog.Server {
	for i := range y.view.Servers {
		if y.view.Servers[i].Name == server {
			return &y.view.Servers[i]
		}
	}
	y.c.Fatalf("no server %s", server)
	return nil
}

// sends returns how many requests each server gets in a span in which they come fast, for many objects or for none.
func (y *yard) sends(span time.Duration, named bool, notice map[string]lovageyard.Notice) map[string]int {
	counts := make(map[string]int)
	for end := y.now.Add(span); y.now.Before(end); y.now = y.now.Add(20 * time.Millisecond) {
		key := ""
		if named {
			key = fmt.Sprint(y.now.UnixNano())
		}
		choice := y.choose(key)
		if choice.Refused {
			counts[choice.Cause]++
			continue
		}
		counts[choice.Server.Name]++
		y.table.Observe(choice.Server, notice[choice.Server.Name], y.now, y.now)
		y.done(choice, dispatch.Outcome{Answered: true})
	}
	return counts
}

// Every way to a server that names a limit keeps to it: homes of objects, the least expected time, repeats, and
// sends over a fresh connection. What it does not take others do.
func TestEveryWayToAServerKeepsItsLimit(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint(named), func(t *testing.T) {
			y := newYard(t)
			limited := lovageyard.Notice{Limited: true, Limit: 2}
			y.hear("east-0", limited)
			counts := y.sends(20*time.Second, named, map[string]lovageyard.Notice{"east-0": limited})
			y.c.Assert(counts["east-0"] <= 40, qt.IsTrue, qt.Commentf("%v", counts))
			y.c.Assert(counts["east-0"] > 20, qt.IsTrue, qt.Commentf("%v", counts))
			y.c.Assert(counts["east-0"]+counts["east-1"]+counts["east-2"]+counts["west-0"]+counts["west-1"]+counts["west-2"], qt.Equals, 1000)
		})
	}
}

func TestRepeatAndSecondSendKeepALimit(t *testing.T) {
	y := newYard(t)
	y.view.Servers = y.view.Servers[:2]
	y.table.SetCatalog(y.view, y.now)
	y.hear("east-0", lovageyard.Notice{Limited: true, Limit: 2})
	y.now = y.now.Add(2 * time.Second)
	choice := y.choose("", "east-1")
	y.c.Assert(choice.Refused, qt.IsFalse)
	y.c.Assert(y.table.TakeResend(choice, y.now), qt.IsFalse)
	repeat := y.choose("", "east-1")
	y.c.Assert(repeat.Refused, qt.IsTrue)
	y.c.Assert(repeat.Cause, qt.Equals, dispatch.CauseBackpressure)
	other := y.choose("", "east-0")
	y.c.Assert(y.table.TakeResend(other, y.now), qt.IsTrue)
}

// Where all servers have asked for less, a request is refused at once, and told when one of them takes it.
func TestRequestThatNoServerTakesIsToldWhenToComeBack(t *testing.T) {
	y := newYard(t)
	for _, s := range y.view.Servers {
		y.hear(s.Name, lovageyard.Notice{Limited: true, Limit: 0.5})
	}
	refused := y.choose("k")
	y.c.Assert(refused.Cause, qt.Equals, dispatch.CauseBackpressure)
	y.now = y.now.Add(refused.RetryAfter)
	y.c.Assert(y.choose("k").Refused, qt.IsFalse)
}

// What a server asked for outlasts a time in which the platform does not list it, and a limit of one life is none
// of the next.
func TestNoticeOutlastsALapsedEntryButNotALife(t *testing.T) {
	y := newYard(t)
	y.hear("east-0", lovageyard.Notice{Limited: true, Limit: 0.01})
	all := y.view.Servers
	y.view.Servers = all[1:2]
	y.table.SetCatalog(y.view, y.now)
	y.view.Servers = all[:2]
	y.table.SetCatalog(y.view, y.now)
	y.c.Assert(y.choose("", "east-1").Cause, qt.Equals, dispatch.CauseBackpressure)
	all[0].Life = 7
	y.table.SetCatalog(y.view, y.now)
	y.c.Assert(y.choose("", "east-1").Refused, qt.IsFalse)
	// Late word of the life before is none of this one.
	earlier := all[0].BackendServer
	earlier.Life = 0
	y.table.Observe(earlier, lovageyard.Notice{Limited: true, Limit: 0.01}, y.now, y.now)
	y.c.Assert(y.choose("", "east-1").Refused, qt.IsFalse)
}

// The answer of a server that the platform has just ceased to list still counts when it is listed again.
func TestNoticeOfAnUnlistedServerIsKept(t *testing.T) {
	y := newYard(t)
	all := y.view.Servers
	y.view.Servers = all[1:2]
	y.table.SetCatalog(y.view, y.now)
	y.table.Observe(all[0].BackendServer, lovageyard.Notice{Limited: true, Limit: 0.01}, y.now, y.now)
	y.view.Servers = all[:2]
	y.table.SetCatalog(y.view, y.now)
	y.c.Assert(y.choose("", "east-1").Cause, qt.Equals, dispatch.CauseBackpressure)
}

// A server that says in an answer that it leaves gets no further request, on whichever way, and its objects have other
// homes. If all say so, callers are refused at once.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint(named), func(t *testing.T) {
			y := newYard(t)
			inFlight := y.choose("")
			y.hear("east-0", lovageyard.Notice{Leaving: true})
			counts := y.sends(10*time.Second, named, nil)
			y.c.Assert(counts["east-0"], qt.Equals, 0, qt.Commentf("%v", counts))
			y.c.Assert(counts["east-1"]+counts["east-2"]+counts["west-0"]+counts["west-1"]+counts["west-2"], qt.Equals, 500)
			y.hear(inFlight.Server.Name, lovageyard.Notice{Leaving: true})
			y.c.Assert(y.table.TakeResend(inFlight, y.now), qt.IsFalse)
			for _, s := range y.view.Servers {
				y.hear(s.Name, lovageyard.Notice{Leaving: true})
			}
			y.c.Assert(y.choose("k").Cause, qt.Equals, dispatch.CauseNoServer)
		})
	}
}

// A server that left is known to have left when its entry lapses and comes back, as after an outage of the platform; one
// that starts again, in a new life or after it was gone for a while, is used.
func TestServerThatLeftIsUsedOnceItHasStartedAgain(t *testing.T) {
	for _, test := range []struct {
		name   string
		away   time.Duration
		life   int64
		isUsed bool
	}{
		{"lapsed for a moment", 2 * time.Second, 0, false},
		{"gone for a while", 6 * time.Second, 0, true},
		{"a new life", 0, 8, true},
		{"the same life after long", time.Minute, 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			y := newYard(t)
			all := y.view.Servers[:2]
			if test.life > 0 {
				all[0].Life = 7
			}
			y.view.Servers = all
			y.table.SetCatalog(y.view, y.now)
			y.hear("east-0", lovageyard.Notice{Leaving: true})
			if test.away > 0 {
				y.view.Servers = all[1:]
				y.table.SetCatalog(y.view, y.now)
				y.now = y.now.Add(test.away)
			}
			all[0].Life = test.life
			y.view.Servers = all
			y.table.SetCatalog(y.view, y.now)
			y.c.Assert(y.choose("", "east-1").Refused, qt.Equals, !test.isUsed)
		})
	}
}

// A server that asks for a backoff gets nothing on any way until that is over, and work again then.
func TestServerThatAsksForABackoffGetsNothing(t *testing.T) {
	for _, named := range []bool{true, false} {
		t.Run(fmt.Sprint(named), func(t *testing.T) {
			y := newYard(t)
			y.hear("east-0", lovageyard.Notice{Backoff: 3 * time.Second})
			counts := y.sends(3*time.Second, named, nil)
			y.c.Assert(counts["east-0"], qt.Equals, 0, qt.Commentf("%v", counts))
			y.c.Assert(counts["east-1"]+counts["east-2"]+counts["west-0"]+counts["west-1"]+counts["west-2"], qt.Equals, 150)
			counts = y.sends(3*time.Second, named, nil)
			y.c.Assert(counts["east-0"] > 10, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// A backoff that is asked for while a request is on its way to a server holds for that request, too.
func TestBackoffHoldsForARequestThatIsNotSentYet(t *testing.T) {
	y := newYard(t)
	choice := y.choose("k")
	y.c.Assert(y.table.MaySend(choice, y.now), qt.IsTrue)
	y.hear(choice.Server.Name, lovageyard.Notice{Backoff: time.Second})
	y.c.Assert(y.table.MaySend(choice, y.now), qt.IsFalse)
	y.c.Assert(y.table.TakeResend(choice, y.now), qt.IsFalse)
	y.c.Assert(y.table.MaySend(choice, y.now.Add(time.Second)), qt.IsTrue)
}

// Callers whom no server takes for now are told when the first of them does.
func TestBackoffOfAllServersIsToldToCallers(t *testing.T) {
	y := newYard(t)
	for i, s := range y.view.Servers {
		y.hear(s.Name, lovageyard.Notice{Backoff: time.Duration(3+i) * time.Second})
	}
	refused := y.choose("k")
	y.c.Assert(refused.Cause, qt.Equals, dispatch.CauseBackpressure)
	y.c.Assert(refused.RetryAfter >= 3*time.Second, qt.IsTrue)
	y.c.Assert(refused.RetryAfter < 4*time.Second, qt.IsTrue)
}

// A server that has refused for a backoff is home to its objects again once that is over.
func TestBackoffLeavesNoMark(t *testing.T) {
	y := newYard(t)
	home := y.run("k").Name
	for range 10 {
		choice := y.choose("k")
		y.c.Assert(choice.Server.Name, qt.Equals, home)
		notice := lovageyard.Notice{Backoff: 100 * time.Millisecond}
		y.hear(home, notice)
		y.done(choice, dispatch.Outcome{Answered: true, Failed: true, NotRun: true, Meta: lovageyard.AnswerMeta{Notice: notice}})
		y.now = y.now.Add(100 * time.Millisecond)
	}
}
