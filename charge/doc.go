// Package charge ensures that a request of a class that is not idempotent runs at most once. Before the
// request is sent, a claim row for the caller's idempotency key is inserted into the platform's table;
// afterwards the row records the outcome.
//
// A second request with the key gets the stored answer if the first one ran, may claim the key again if it did
// not run, and is refused while the outcome is open or unknown. Claim holds the state machine, Store the
// access to the platform.
//
// A platform that is restored from an older copy of itself has lost the latest claims. Instances write theirs
// again, and accept no new keys until that is done (era.go).
package charge
