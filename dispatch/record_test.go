package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// observe applies backpressure as if it came with a response of a server.
func (tt *testTable) observe(server string, n lovageyard.Backpressure) {
	tt.table.Observe(tt.listed(server).BackendServer, n, tt.now, tt.now)
}

func (tt *testTable) listed(server string) *catalog.Server {
	for i := range tt.view.Servers {
		if tt.view.Servers[i].Name == server {
			return &tt.view.Servers[i]
		}
	}
	tt.c.Fatalf("no server %s", server)
	return nil
}

// countSends sends requests at short intervals, for a different object each or for none, and
// returns how many each server gets. Servers respond with the given backpressure.
func (tt *testTable) countSends(period time.Duration, withKeys bool, requested map[string]lovageyard.Backpressure) map[string]int {
	counts := make(map[string]int)
	for end := tt.now.Add(period); tt.now.Before(end); tt.now = tt.now.Add(20 * time.Millisecond) {
		key := ""
		if withKeys {
			key = fmt.Sprint(tt.now.UnixNano())
		}
		choice := tt.choose(key)
		if choice.Refused {
			counts[choice.Cause]++
			continue
		}
		counts[choice.Server.Name]++
		tt.table.Observe(choice.Server, requested[choice.Server.Name], tt.now, tt.now)
		tt.finish(choice, dispatch.Outcome{Answered: true})
	}
	return counts
}

// A server's rate limit must hold for all requests, whether they are bound to an object or not; the
// excess goes to other servers.
func TestAllChoicesKeepServerLimit(t *testing.T) {
	for _, withKeys := range []bool{true, false} {
		t.Run(fmt.Sprint(withKeys), func(t *testing.T) {
			tt := newTestTable(t)
			limited := lovageyard.Backpressure{Limited: true, Limit: 2}
			tt.observe("east-0", limited)
			counts := tt.countSends(20*time.Second, withKeys, map[string]lovageyard.Backpressure{"east-0": limited})
			tt.c.Assert(counts["east-0"] <= 40, qt.IsTrue, qt.Commentf("%v", counts))
			tt.c.Assert(counts["east-0"] > 20, qt.IsTrue, qt.Commentf("%v", counts))
			tt.c.Assert(counts["east-0"]+counts["east-1"]+counts["east-2"]+counts["west-0"]+counts["west-1"]+counts["west-2"], qt.Equals, 1000)
		})
	}
}

func TestRetryAndResendKeepLimit(t *testing.T) {
	tt := newTestTable(t)
	tt.view.Servers = tt.view.Servers[:2]
	tt.table.SetCatalog(tt.view, tt.now)
	tt.observe("east-0", lovageyard.Backpressure{Limited: true, Limit: 2})
	tt.now = tt.now.Add(2 * time.Second)
	choice := tt.choose("", "east-1")
	tt.c.Assert(choice.Refused, qt.IsFalse)
	tt.c.Assert(tt.table.TakeResend(choice, tt.now), qt.IsFalse)
	retry := tt.choose("", "east-1")
	tt.c.Assert(retry.Refused, qt.IsTrue)
	tt.c.Assert(retry.Cause, qt.Equals, dispatch.CauseBackpressure)
	other := tt.choose("", "east-0")
	tt.c.Assert(tt.table.TakeResend(other, tt.now), qt.IsTrue)
}

// If all servers have set a rate limit, a request is refused immediately, and its retry delay ends
// when one of them accepts it.
func TestRefusedRequestGetsRetryAfter(t *testing.T) {
	tt := newTestTable(t)
	for _, s := range tt.view.Servers {
		tt.observe(s.Name, lovageyard.Backpressure{Limited: true, Limit: 0.5})
	}
	refused := tt.choose("k")
	tt.c.Assert(refused.Cause, qt.Equals, dispatch.CauseBackpressure)
	tt.now = tt.now.Add(refused.RetryAfter)
	tt.c.Assert(tt.choose("k").Refused, qt.IsFalse)
}

// A server's rate limit must survive a time in which the platform does not list the server, but not
// a restart of the server.
func TestLimitSurvivesUnlistingButNotRestart(t *testing.T) {
	tt := newTestTable(t)
	tt.observe("east-0", lovageyard.Backpressure{Limited: true, Limit: 0.01})
	all := tt.view.Servers
	tt.view.Servers = all[1:2]
	tt.table.SetCatalog(tt.view, tt.now)
	tt.view.Servers = all[:2]
	tt.table.SetCatalog(tt.view, tt.now)
	tt.c.Assert(tt.choose("", "east-1").Cause, qt.Equals, dispatch.CauseBackpressure)
	all[0].Incarnation = 7
	tt.table.SetCatalog(tt.view, tt.now)
	tt.c.Assert(tt.choose("", "east-1").Refused, qt.IsFalse)
	// A late response of the previous incarnation must not affect this one.
	earlier := all[0].BackendServer
	earlier.Incarnation = 0
	tt.table.Observe(earlier, lovageyard.Backpressure{Limited: true, Limit: 0.01}, tt.now, tt.now)
	tt.c.Assert(tt.choose("", "east-1").Refused, qt.IsFalse)
}

// A response that arrives just after the platform stopped listing its server still counts when the
// server is listed again.
func TestLimitOfUnlistedServerIsKept(t *testing.T) {
	tt := newTestTable(t)
	all := tt.view.Servers
	tt.view.Servers = all[1:2]
	tt.table.SetCatalog(tt.view, tt.now)
	tt.table.Observe(all[0].BackendServer, lovageyard.Backpressure{Limited: true, Limit: 0.01}, tt.now, tt.now)
	tt.view.Servers = all[:2]
	tt.table.SetCatalog(tt.view, tt.now)
	tt.c.Assert(tt.choose("", "east-1").Cause, qt.Equals, dispatch.CauseBackpressure)
}

// A server that announces its shutdown in a response must get no further request, whether it is
// bound to an object or not. If all servers have done so, requests are refused immediately.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for _, withKeys := range []bool{true, false} {
		t.Run(fmt.Sprint(withKeys), func(t *testing.T) {
			tt := newTestTable(t)
			inFlight := tt.choose("")
			tt.observe("east-0", lovageyard.Backpressure{Leaving: true})
			counts := tt.countSends(10*time.Second, withKeys, nil)
			tt.c.Assert(counts["east-0"], qt.Equals, 0, qt.Commentf("%v", counts))
			tt.c.Assert(counts["east-1"]+counts["east-2"]+counts["west-0"]+counts["west-1"]+counts["west-2"], qt.Equals, 500)
			tt.observe(inFlight.Server.Name, lovageyard.Backpressure{Leaving: true})
			tt.c.Assert(tt.table.TakeResend(inFlight, tt.now), qt.IsFalse)
			for _, s := range tt.view.Servers {
				tt.observe(s.Name, lovageyard.Backpressure{Leaving: true})
			}
			tt.c.Assert(tt.choose("k").Cause, qt.Equals, dispatch.CauseNoServer)
		})
	}
}

// A server that announced its shutdown must not be used when its entry expires and returns, as in
// an outage of the platform. It must be used after a restart, that is, with a new incarnation or
// after it was unlisted for a while.
func TestLeavingServerIsUsedAfterRestart(t *testing.T) {
	for _, test := range []struct {
		name        string
		unlistedFor time.Duration
		incarnation int64
		isUsed      bool
	}{
		{"unlisted briefly", 2 * time.Second, 0, false},
		{"unlisted for longer than the assumed restart gap", 6 * time.Second, 0, true},
		{"new incarnation", 0, 8, true},
		{"same incarnation after a long time", time.Minute, 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tt := newTestTable(t)
			all := tt.view.Servers[:2]
			if test.incarnation > 0 {
				all[0].Incarnation = 7
			}
			tt.view.Servers = all
			tt.table.SetCatalog(tt.view, tt.now)
			tt.observe("east-0", lovageyard.Backpressure{Leaving: true})
			if test.unlistedFor > 0 {
				tt.view.Servers = all[1:]
				tt.table.SetCatalog(tt.view, tt.now)
				tt.now = tt.now.Add(test.unlistedFor)
			}
			all[0].Incarnation = test.incarnation
			tt.view.Servers = all
			tt.table.SetCatalog(tt.view, tt.now)
			tt.c.Assert(tt.choose("", "east-1").Refused, qt.Equals, !test.isUsed)
		})
	}
}

// A server that requests a backoff must get no requests until the backoff ends, and requests again
// afterwards.
func TestBackingOffServerGetsNoRequests(t *testing.T) {
	for _, withKeys := range []bool{true, false} {
		t.Run(fmt.Sprint(withKeys), func(t *testing.T) {
			tt := newTestTable(t)
			tt.observe("east-0", lovageyard.Backpressure{Backoff: 3 * time.Second})
			counts := tt.countSends(3*time.Second, withKeys, nil)
			tt.c.Assert(counts["east-0"], qt.Equals, 0, qt.Commentf("%v", counts))
			tt.c.Assert(counts["east-1"]+counts["east-2"]+counts["west-0"]+counts["west-1"]+counts["west-2"], qt.Equals, 150)
			counts = tt.countSends(3*time.Second, withKeys, nil)
			tt.c.Assert(counts["east-0"] > 10, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// A backoff that is requested after a server was chosen must also hold for the chosen request.
func TestBackoffHoldsForUnsentRequest(t *testing.T) {
	tt := newTestTable(t)
	choice := tt.choose("k")
	tt.c.Assert(tt.table.MaySend(choice, tt.now), qt.IsTrue)
	tt.observe(choice.Server.Name, lovageyard.Backpressure{Backoff: time.Second})
	tt.c.Assert(tt.table.MaySend(choice, tt.now), qt.IsFalse)
	tt.c.Assert(tt.table.TakeResend(choice, tt.now), qt.IsFalse)
	tt.c.Assert(tt.table.MaySend(choice, tt.now.Add(time.Second)), qt.IsTrue)
}

// Opening a connection takes time, in which the platform may announce that the chosen server leaves. The request
// must not be sent then, nor sent again on another connection.
func TestRequestIsNotSentToServerThatLeftSinceTheChoice(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(tt *testTable, server string)
	}{
		{"leaving", func(tt *testTable, server string) { tt.listed(server).State = lovageyard.StateLeaving }},
		{"removed", func(tt *testTable, server string) {
			tt.view.Servers = slices.DeleteFunc(tt.view.Servers, func(s catalog.Server) bool { return s.Name == server })
		}},
		{"restarted", func(tt *testTable, server string) { tt.listed(server).Incarnation++ }},
		{"drained", func(tt *testTable, server string) {
			tt.view.Drained = map[string]bool{tt.listed(server).FailureDomain: true}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tt := newTestTable(t)
			choice := tt.choose("k")
			tt.c.Assert(tt.table.MaySend(choice, tt.now), qt.IsTrue)
			test.change(tt, choice.Server.Name)
			tt.table.SetCatalog(tt.view, tt.now)
			tt.c.Assert(tt.table.MaySend(choice, tt.now), qt.IsFalse)
			tt.c.Assert(tt.table.TakeResend(choice, tt.now), qt.IsFalse)
		})
	}
}

// If all servers have requested a backoff, the retry delay ends when the first backoff does.
func TestBackoffOfAllServersSetsRetryAfter(t *testing.T) {
	tt := newTestTable(t)
	for i, s := range tt.view.Servers {
		tt.observe(s.Name, lovageyard.Backpressure{Backoff: time.Duration(3+i) * time.Second})
	}
	refused := tt.choose("k")
	tt.c.Assert(refused.Cause, qt.Equals, dispatch.CauseBackpressure)
	tt.c.Assert(refused.RetryAfter >= 3*time.Second, qt.IsTrue)
	tt.c.Assert(refused.RetryAfter < 4*time.Second, qt.IsTrue)
}

// After a backoff, the server must still be the home of its objects.
func TestBackoffDoesNotMoveObjects(t *testing.T) {
	tt := newTestTable(t)
	home := tt.run("k").Name
	for range 10 {
		choice := tt.choose("k")
		tt.c.Assert(choice.Server.Name, qt.Equals, home)
		requested := lovageyard.Backpressure{Backoff: 100 * time.Millisecond}
		tt.observe(home, requested)
		tt.finish(choice, dispatch.Outcome{Answered: true, Failed: true, NotRun: true, Meta: lovageyard.ResponseMeta{Backpressure: requested}})
		tt.now = tt.now.Add(100 * time.Millisecond)
	}
}
