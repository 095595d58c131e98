// Package transfer limits HTTP exchanges by their progress instead of their total duration. A large
// body on a slow link is transferred completely, and an unresponsive peer is still detected
// quickly.
package transfer
