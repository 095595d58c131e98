// Package link sends requests to backend servers over a pool of persistent connections.
//
// The error of a failed attempt is a *lovageyard.RequestError, which tells whether the request may
// have run at the server. The package never resends a request that is not idempotent, and resends
// others only if the server closed a reused connection before it responded.
package link
