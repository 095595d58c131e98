package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/quota"
)

// all selects all accounts.
func all(string) bool { return true }

// Requests of an account that is far from its limit wait for nothing, but for the report of those before them
// if there are many.
func TestOneInstanceAdmitsLittleBeforeItReports(t *testing.T) {
	const instances, enough = 10, 1000
	c := qt.New(t)
	a := &lovageyard.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Hour
	l := quota.NewLedger(now)
	l.SetInstanceCount(instances)
	l.ApplyReply("owner", all, false, nil, now, now)
	admitted := 0
	for l.Admit(a, "owner", now).Verdict == quota.Admitted && admitted < enough {
		admitted++
	}
	c.Assert(admitted > 1, qt.IsTrue)
	c.Assert(float64(admitted*instances) <= a.Burst, qt.IsTrue, qt.Commentf("%d at each of %d instances", admitted, instances))
	uses := l.Report("owner", all, now)
	c.Assert(uses, qt.HasLen, 1)
	c.Assert(uses[0].Used, qt.Equals, admitted)
	c.Assert(l.Admit(a, "owner", now).Verdict, qt.Equals, quota.Admitted)
}

// Without word of an owner, requests need tokens.
func TestOldWordOfAOwnerAdmitsNothing(t *testing.T) {
	c := qt.New(t)
	a := &lovageyard.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Hour
	l := quota.NewLedger(now)
	c.Assert(l.Admit(a, "owner", now).Verdict, qt.Equals, quota.Pending)
	l.ApplyReply("owner", all, false, nil, now, now)
	c.Assert(l.Admit(a, "owner", now.Truncate(time.Second)).Verdict, qt.Equals, quota.Admitted)
	c.Assert(l.Admit(a, "owner", now+time.Minute).Verdict, qt.Equals, quota.Pending)
}

// Tokens that are not used in time go back, and are used by nobody here.
func TestTokensExpire(t *testing.T) {
	c := qt.New(t)
	a := &lovageyard.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Hour
	l := quota.NewLedger(now)
	l.ApplyReply("owner", all, true, []quota.State{{Account: "a", Granted: 3, Metered: true}}, now, now)
	c.Assert(l.Admit(a, "owner", now).Verdict, qt.Equals, quota.Admitted)
	now += time.Second
	c.Assert(l.Admit(a, "owner", now).Verdict, qt.Equals, quota.Pending)
	uses := l.Report("owner", all, now)
	c.Assert(uses[0].Returned, qt.Equals, 2)
	c.Assert(uses[0].Wanted, qt.Equals, 1)
}

// A report that may not have been heard is made again, but nothing is given back twice.
func TestReportThatFailedIsMadeAgain(t *testing.T) {
	c := qt.New(t)
	a := &lovageyard.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Hour
	l := quota.NewLedger(now)
	l.ApplyReply("owner", all, false, nil, now, now)
	l.Admit(a, "owner", now)
	l.Admit(a, "owner", now)
	l.Report("owner", all, now)
	l.Return("a")
	uses := l.Report("owner", all, now)
	c.Assert(uses[0].Returned, qt.Equals, 1)
	l.RestoreReport([]quota.Use{{Account: "a", Used: 2, Returned: 1}})
	uses = l.Report("owner", all, now)
	c.Assert(uses[0].Used, qt.Equals, 2)
	c.Assert(uses[0].Returned, qt.Equals, 0)
}
