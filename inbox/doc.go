// Package inbox hands typed messages to the one goroutine that owns some state, and runs
// slow calls outside it whose results come back as messages.
package inbox
