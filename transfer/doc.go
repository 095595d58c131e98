// Package transfer limits HTTP exchanges by their progress instead of their total duration. A large
// body on a slow link is transferred completely, and an unresponsive peer is still detected
// quickly. It also limits the requests that a server reads, in length and time.
package transfer
