package lovageyard

import (
	"crypto/sha256"
	"time"
)

// KeyDigest stands for a key of a client account, which is not kept itself.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Account is a client account: whoever presents one of its keys is its caller.
type Account struct {
	Name string
	Keys []KeyDigest
	// Rank orders accounts under overload, before the rank of the route; 0 is served first.
	Rank int
	// Rate is the limit in requests a second over all instances, with Burst requests on top; a rate of 0
	// means no limit.
	Rate  float64
	Burst float64
	// HomeRegions are the only regions that may run the account's requests; empty means all.
	HomeRegions []string
}

// Credentials are what a request says of who sends it.
type Credentials struct {
	// Given says that the request has credentials, well formed or not.
	Present bool
	// Key is the key that they hold, or "" if they are not of the expected form.
	Key string
	// Text is what was given, for comparisons only: it must not be passed on or logged.
	Raw string
}

// Forwarding is what a backend server is told beside the request itself.
type Forwarding struct {
	// Left is the time that is left until the deadline.
	Remaining time.Duration
	// Server is the identity of the server that is meant.
	Server string
	// Identified says that callers' credentials were checked here, so that the server does not get them.
	Authenticated bool
	// Account is the caller's account, or "" if it has none.
	Account string
}
