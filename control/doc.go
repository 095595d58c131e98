// Package control owns an entry instance's control state in one goroutine. Typed
// messages bring it peers' exchanges, the platform's answers and operators' queries;
// traffic reads the immutable snapshot that it publishes.
package control
