// Package caller implements the HTTP listener for callers: it answers look-ups of entry instances, and
// forwards requests to backend servers.
//
// A request is matched to a class, gets a site and a slot on one of its backend servers, and is retried on
// another server within the class's retry budget if it has not run or the class is idempotent. A request of a
// class that is not idempotent needs an idempotency key, which package charge claims. Every response that the
// handler generates itself carries a verdict on whether the request has run.
package caller
