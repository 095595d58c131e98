// Package charge lets a request of a class that is not idempotent run at most once: a
// claim row for the caller's key is inserted before the request is sent, and says
// afterwards what became of it.
package charge
