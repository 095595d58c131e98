// Package inbox implements a mailbox for a goroutine that owns some state.
//
// Other goroutines change the state only by posting messages, which the owner applies one at a time. The
// owner runs slow calls in other goroutines; their results come back as messages.
package inbox
