package catalog

import (
	"time"

	"lovageyard.example/lovageyard"
)

// View is the state that request handling reads: a snapshot of the platform's tables and the
// status of this instance. It is immutable.
type View struct {
	*Snapshot
	// Live holds the entry instances that accept new requests, including this one unless it is leaving.
	Live []lovageyard.EntryInstance
	// Ready reports whether this instance can serve; see State.Ready.
	Ready bool
	// Leaving reports whether this instance is shutting down; it exits at ShutdownAt.
	Leaving    bool
	ShutdownAt time.Time
	// Settling reports whether this instance has just started and the platform's store may have been restored
	// just before, so that the rows may lack changes that were acknowledged.
	Settling bool
	// Refusing reports whether this instance refuses new requests.
	Refusing bool
}
