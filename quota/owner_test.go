package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/quota"
)

// singleAccount provides the limits of one account, which an owner owns all the time.
type singleAccount struct {
	account lovageyard.Account
}

func (s *singleAccount) Account(string) *lovageyard.Account { return &s.account }

func (s *singleAccount) InstanceCount() int { return 1 }

func (s *singleAccount) OwnedSince(string) (time.Duration, bool) { return 0, true }

// An owner must not hand out the tokens of its own bucket again after another owner, which some instances considered
// to own the account, has handed out those tokens.
func TestTokensAreNotGrantedAgainAfterAChangeOfOwner(t *testing.T) {
	c := qt.New(t)
	const burst = 100
	limits := &singleAccount{lovageyard.Account{Name: "a", Rate: 1, Burst: burst}}
	now := time.Hour
	owner := quota.NewOwner(quota.Bound{Window: 5 * time.Second, Excess: 0.1}, now)
	report := func(u quota.Use) quota.State {
		u.Account = "a"
		states := owner.ApplyReport("entry-1", []quota.Use{u}, limits, now)
		c.Assert(states, qt.HasLen, 1)
		return states[0]
	}
	full := report(quota.Use{Known: true, Unmetered: true, Level: burst})
	c.Assert(full.Level > burst/10, qt.IsTrue, qt.Commentf("%d tokens", full.Level))
	now += 2 * time.Second
	// The other owner has one token left.
	c.Assert(report(quota.Use{Known: true, Switched: true, Level: 1, Wanted: burst}).Granted, qt.Equals, 0)
}
