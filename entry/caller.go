package entry

import (
	"net/http"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// KnowledgeLimits bound how old the knowledge of the configuration may be that a request is judged by.
type KnowledgeLimits struct {
	// Serve is the age up to which requests with a key are served, as the key may have been taken
	// away since; 0 means any age.
	Serve time.Duration
	// Reject is the age up to which a request is rejected for a key or route that is not known, as it
	// may have been added since; 0 means any age.
	Reject time.Duration
}

const (
	// retryNever says that coming back does not help.
	retryNever = 0
	// retryStale is when to come back after a refusal for the age of what is known: word of the
	// platform comes each second.
	retryStale = 300 * time.Millisecond
)

// caller is whose request it is.
type caller struct {
	// identified says that the configuration has accounts, so that credentials were checked.
	identified bool
	// account is the caller's, or nil if its request needs none.
	account *lovageyard.Account
}

func (c caller) name() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// rank returns the rank of the caller's requests on a route; the account's goes first.
func (c caller) rank(route *lovageyard.Route) int {
	if c.account == nil {
		return route.Rank
	}
	return c.account.Rank
}

// identify finds the caller's account, or ends the request: credentials, where there are any, have to be good
// ones also on routes that need none.
func (x *exchange) identify() bool {
	if x.view.Accounts.IsEmpty() {
		return true
	}
	x.caller.identified = true
	given := x.meta.Credentials
	if !given.Present && x.route.Open {
		return true
	}
	x.caller.account = x.view.Accounts.Find(given.Key)
	if x.caller.account == nil {
		x.rejectUnknown(http.StatusUnauthorized, "the key is missing or unknown")
		return false
	}
	if !x.isStillAllowed() {
		x.rejectCaller()
		return false
	}
	return true
}

// callerText returns what tells callers apart: a caller that changes its key is the same one.
func (x *exchange) callerText() string {
	if x.caller.identified {
		return x.caller.name()
	}
	return x.meta.Credentials.Raw
}

// isStillAllowed says whether the caller's key is one of its account's now, as far as that has to be known: a
// key that was taken away runs nothing, whatever happens to this instance and its clocks.
func (x *exchange) isStillAllowed() bool {
	if x.caller.account == nil {
		return true
	}
	return x.holdsKey() && isWithin(x.handler.Source.ConfirmationAge(), x.handler.Limits.Serve)
}

// holdsKey says whether the key is the account's by the configuration that is in force now.
func (x *exchange) holdsKey() bool {
	now := x.handler.Source.View()
	if now.Snapshot == x.view.Snapshot {
		return true
	}
	found := now.Accounts.Find(x.meta.Credentials.Key)
	return found != nil && found.Name == x.caller.account.Name
}

// rejectCaller ends a request that isStillAllowed does not allow.
func (x *exchange) rejectCaller() {
	if !x.holdsKey() {
		x.rejectUnknown(http.StatusUnauthorized, "the key was taken away")
		return
	}
	x.refuse(causeStale, "the key may have been taken away since the configuration was last confirmed", retryStale, nil)
}

// rejectUnknown ends a request that the configuration does not allow, unless a newer one may allow it.
func (x *exchange) rejectUnknown(status int, reason string) {
	if !x.view.Accounts.IsEmpty() && !isWithin(x.handler.Source.ConfirmationAge(), x.handler.Limits.Reject) {
		x.refuse(causeStale, reason+", and may have been added since", retryStale, nil)
		return
	}
	if status == http.StatusUnauthorized {
		x.handler.Codec.Challenge(x.writer.Header())
	}
	x.reject(status, reason)
}

func isWithin(age, limit time.Duration) bool {
	return limit == 0 || age <= limit
}

// setRegions sets the regions that may run the request: the homes of its route and of its account, or those that
// both have. It returns false if they have none in common.
func (x *exchange) setRegions() bool {
	x.regions = x.route.HomeRegions
	if x.caller.account == nil || len(x.caller.account.HomeRegions) == 0 {
		return true
	}
	if len(x.regions) == 0 {
		x.regions = x.caller.account.HomeRegions
		return true
	}
	x.regions = slices.DeleteFunc(slices.Clone(x.regions), func(region string) bool {
		return !slices.Contains(x.caller.account.HomeRegions, region)
	})
	return len(x.regions) > 0
}
