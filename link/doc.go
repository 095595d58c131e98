// Package link sends requests to backend servers over a pool of persistent connections.
//
// The error of a failed attempt is a *lovageyard.RequestError, which tells whether the request may
// have run at the server. A request is resent only if the server closed a reused connection before
// it responded, and only if the request is idempotent (Send) or has no body (Stream).
package link
