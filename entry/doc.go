// Package entry implements the HTTP handlers of an entry instance for callers: Handler forwards requests to
// backend servers, Directory answers look-ups of instance addresses, and Readiness answers readiness probes.
//
// Handler decides for each request whether it may run (route, account, quota, quarantine, time left), picks
// servers with package dispatch, and retries on another server if that is safe: a request that may have run is
// retried only on an idempotent route. Every response that it generates itself says whether the request has
// not run or may have run.
package entry
