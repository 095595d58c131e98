// Package fleet runs the control loop of an entry instance on a platform with a change feed.
//
// The loop watches the platform's tables, exchanges heartbeats, rows and crash reports with other
// instances, and publishes an immutable catalog.View that request handling reads. To limit the calls to
// the platform, only a few instances, the relays, watch it while they are healthy; the others receive rows
// from the relays. All state of the loop belongs to one goroutine, to which calls and watches post their
// results as messages.
package fleet
