// Package quota enforces request limits of client accounts over all entry instances together, however the load
// of an account moves between them.
//
// The expected load is many accounts far below their limits, with a few requests a second spread over many
// instances, and now and then one account that sends several times its usual rate.
//
// Each account has an owner among the instances, chosen by rendezvous hashing, which holds the token bucket of
// the account. While the bucket is well filled, all instances admit requests immediately and report them to
// the owner afterwards, so that no request waits. Otherwise the account is metered: instances need tokens from
// the owner before they admit a request. An owner hands out only the share of a limit that corresponds to the
// instances that report to it. Instances on both sides of a network partition, or with different views of who
// the owner is, thus stay within the limit together. State is kept in memory only: an owner that takes over an
// account starts from what the instances report of it, or with an empty bucket.
//
// Ledger is the state of an instance that admits requests, Owner that of one that owns accounts. Both are free
// of I/O; Limiter runs them and exchanges the reports.
package quota
