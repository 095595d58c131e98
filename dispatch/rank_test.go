package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// taken returns how many requests of a rank servers take at once, by a configuration with accounts of some ranks.
func taken(t *testing.T, rank int, accounts ...int) int {
	y := newYard(t)
	for _, r := range accounts {
		y.view.Configuration.Accounts = append(y.view.Configuration.Accounts, lovageyard.Account{Rank: r})
	}
	y.table.SetCatalog(y.view, y.now)
	for count := 0; ; count++ {
		choice := y.table.Choose(dispatch.Request{
			Now: y.now, Route: y.route, Rank: rank, Service: "desk", Deadline: y.now.Add(time.Minute),
		})
		if choice.Refused {
			return count
		}
	}
}

// Most accounts may fill the queues; those that are less urgent leave room to them.
func TestLessUrgentAccountsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	usual := taken(t, 1, 0, 1, 1, 2)
	c.Check(taken(t, 0, 0, 1, 1, 2), qt.Equals, usual)
	c.Check(taken(t, 2, 0, 1, 1, 2) < usual, qt.IsTrue)
	// Without accounts the routes' ranks tell.
	c.Check(taken(t, 0), qt.Equals, usual)
	c.Check(taken(t, 1) < usual, qt.IsTrue)
}
