// Package control maintains the control state of an entry instance.
//
// One goroutine owns the state. It receives messages with the results of gossip exchanges with
// peers, of reads of the platform and of operators' queries, and publishes an immutable
// snapshot that request handlers read without locks. In each failure domain a few instances
// act as relays: they read the platform and merge demand reports. Some relays also hold the
// planner lease of a service and write the placement of its classes to the platform.
// Each instance then moves its own traffic towards the plan in rate-limited steps.
package control
