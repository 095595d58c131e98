package lovageyard

import (
	"crypto/sha256"
	"time"
)

// KeyDigest is the SHA-256 digest of a client account's API key. The key itself is never stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest under which an API key is stored and looked up.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Account is a client account. A caller that presents one of its keys acts for it.
type Account struct {
	Name string
	Keys []KeyDigest
	// Rank orders accounts under overload, before the rank of the route; 0 is served first.
	Rank int
	// Rate is the limit in requests per second summed over all instances, with Burst requests on top.
	// A Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// HomeRegions lists the only regions that may run the account's requests; empty means all regions.
	HomeRegions []string
}

// Credentials holds what a request states about the identity of its sender.
type Credentials struct {
	// Present reports whether the request carries credentials, well formed or not.
	Present bool
	// Key is the API key in the credentials, or "" if they are malformed.
	Key string
	// Raw is the unparsed value, for comparison only: it must not be forwarded or logged.
	Raw string
}

// Forwarding is the metadata that is sent to a backend server along with the request.
type Forwarding struct {
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Server is the identity of the server that the request is meant for.
	Server string
	// Authenticated means that this instance checked the caller's credentials, so they are not
	// forwarded to the server.
	Authenticated bool
	// Account is the name of the caller's account, or "" if it has none.
	Account string
}
