package entry

import (
	"net/http"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// AgeLimits bound the age of the configuration with which requests are decided; see Source.ConfirmationAge.
// They do not apply to a configuration without accounts.
type AgeLimits struct {
	// Serve is the maximum age at which requests with a key are served, as the key may have been revoked
	// since; 0 means no limit.
	Serve time.Duration
	// Reject is the maximum age at which a request is rejected for an unknown key or route, as it may have
	// been added since; 0 means no limit.
	Reject time.Duration
}

const (
	// noRetry is the retry time of refusals that a retry cannot change.
	noRetry = 0
	// staleRetry is the retry time of a refusal because the configuration is too old. The configuration is
	// normally confirmed every second.
	staleRetry = 300 * time.Millisecond
)

// caller is the account of a request.
type caller struct {
	// identified reports whether the configuration has accounts, so that the credentials were checked.
	identified bool
	// account is nil if the request needs no account.
	account *lovageyard.Account
}

func (c caller) name() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// rank returns the priority of the caller's requests on a route. The account's rank takes precedence over the
// route's.
func (c caller) rank(route *lovageyard.Route) int {
	if c.account == nil {
		return route.Rank
	}
	return c.account.Rank
}

// identify sets the caller's account, or ends the request and returns false. Credentials that are present have
// to be valid even on routes that need none.
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
	if !x.keyIsValid() {
		x.rejectRevoked()
		return false
	}
	return true
}

// callerID returns the part of the fingerprint that identifies the caller. It stays the same when an account
// changes its key.
func (x *exchange) callerID() string {
	if x.caller.identified {
		return x.caller.name()
	}
	return x.meta.Credentials.Raw
}

// keyIsValid reports whether the caller's key belongs to its account now, and the configuration is recent
// enough to tell. A revoked key must not run anything, even if this instance is disconnected from the platform
// or its clock is wrong.
func (x *exchange) keyIsValid() bool {
	if x.caller.account == nil {
		return true
	}
	return x.holdsKey() && isWithin(x.handler.Source.ConfirmationAge(), x.handler.Limits.Serve)
}

// holdsKey reports whether the key belongs to the account in the current configuration.
func (x *exchange) holdsKey() bool {
	now := x.handler.Source.View()
	if now.Snapshot == x.view.Snapshot {
		return true
	}
	found := now.Accounts.Find(x.meta.Credentials.Key)
	return found != nil && found.Name == x.caller.account.Name
}

// rejectRevoked ends a request for which keyIsValid returned false.
func (x *exchange) rejectRevoked() {
	if !x.holdsKey() {
		x.rejectUnknown(http.StatusUnauthorized, "the key was taken away")
		return
	}
	x.refuse(causeStale, "the key may have been taken away since the configuration was last confirmed", staleRetry, nil)
}

// rejectUnknown ends a request whose key or route is not in the configuration. If the configuration is so old
// that a newer one may contain it, the request is refused with a retry time instead of rejected.
func (x *exchange) rejectUnknown(status int, reason string) {
	if !x.view.Accounts.IsEmpty() && !isWithin(x.handler.Source.ConfirmationAge(), x.handler.Limits.Reject) {
		x.refuse(causeStale, reason+", and may have been added since", staleRetry, nil)
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

// setRegions sets the regions that may run the request: the home regions of its route and of its account, or
// their intersection if both have some. It returns false if the intersection is empty.
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
