package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// acceptedCount returns how many concurrent requests of a rank the servers accept, with accounts of
// the given ranks configured.
func acceptedCount(t *testing.T, rank int, accounts ...int) int {
	tt := newTestTable(t)
	for _, r := range accounts {
		tt.view.Configuration.Accounts = append(tt.view.Configuration.Accounts, lovageyard.Account{Rank: r})
	}
	tt.table.SetCatalog(tt.view, tt.now)
	for count := 0; ; count++ {
		choice := tt.table.Choose(dispatch.Request{
			Now: tt.now, Route: tt.route, Rank: rank, Service: "desk", Deadline: tt.now.Add(time.Minute),
		})
		if choice.Refused {
			return count
		}
	}
}

// Accounts of the common rank may fill the queues; less urgent ones leave part of the queues to
// them.
func TestLessUrgentAccountsLeaveQueueSpace(t *testing.T) {
	c := qt.New(t)
	common := acceptedCount(t, 1, 0, 1, 1, 2)
	c.Check(acceptedCount(t, 0, 0, 1, 1, 2), qt.Equals, common)
	c.Check(acceptedCount(t, 2, 0, 1, 1, 2) < common, qt.IsTrue)
	// Without accounts, the rank of the route applies.
	c.Check(acceptedCount(t, 0), qt.Equals, common)
	c.Check(acceptedCount(t, 1) < common, qt.IsTrue)
}
