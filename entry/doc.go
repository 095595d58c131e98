// Package entry implements the HTTP handlers of an entry instance for callers: Handler forwards requests to
// backend servers, Directory answers look-ups of instance addresses, and Readiness answers readiness probes.
//
// Handler decides for each request whether it may run (route, account, quota, quarantine, time left), picks
// servers with package dispatch, and retries on another server if that is safe: a request that may have run is
// retried only on an idempotent route. Every response that it generates itself says whether the request has
// not run or may have run.
//
// A request is admitted only if there is memory for its body and its expected response (package footprint), and a
// body that a client sends or reads too slowly is ended with its connection.
package entry
