// Package transfer limits HTTP exchanges by their progress instead of their total duration. A large
// body on a slow link is transferred completely, and an unresponsive peer is still detected
// quickly. It also limits the requests that a server reads, in length and time. Its connections tell a reader
// that the other end has broken off from one that has ended what it had to send.
package transfer
