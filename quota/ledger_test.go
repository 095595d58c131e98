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

// Requests of an account far below its limit are admitted immediately, up to a bound on the requests that have
// not been reported yet.
func TestUnreportedRequestsAreBounded(t *testing.T) {
	const instances, maxRequests = 10, 1000
	c := qt.New(t)
	a := &lovageyard.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Hour
	l := quota.NewLedger(now)
	l.SetInstanceCount(instances)
	l.ApplyReply("owner", all, false, nil, now, now)
	admitted := 0
	for l.Admit(a, "owner", now).Verdict == quota.Admitted && admitted < maxRequests {
		admitted++
	}
	c.Assert(admitted > 1, qt.IsTrue)
	c.Assert(float64(admitted*instances) <= a.Burst, qt.IsTrue, qt.Commentf("%d at each of %d instances", admitted, instances))
	uses := l.Report("owner", all, now)
	c.Assert(uses, qt.HasLen, 1)
	c.Assert(uses[0].Used, qt.Equals, admitted)
	c.Assert(l.Admit(a, "owner", now).Verdict, qt.Equals, quota.Admitted)
}

// Without a recent reply of an owner, requests need tokens.
func TestStaleOwnerReplyAdmitsNothing(t *testing.T) {
	c := qt.New(t)
	a := &lovageyard.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Hour
	l := quota.NewLedger(now)
	c.Assert(l.Admit(a, "owner", now).Verdict, qt.Equals, quota.Pending)
	l.ApplyReply("owner", all, false, nil, now, now)
	c.Assert(l.Admit(a, "owner", now.Truncate(time.Second)).Verdict, qt.Equals, quota.Admitted)
	c.Assert(l.Admit(a, "owner", now+time.Minute).Verdict, qt.Equals, quota.Pending)
}

// Expired tokens are returned to the owner and are not used here.
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

// A report that may not have been received is repeated, but returned tokens are not credited twice.
func TestFailedReportIsRepeated(t *testing.T) {
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
