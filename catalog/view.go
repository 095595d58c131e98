package catalog

import (
	"time"

	"lovageyard.example/lovageyard"
)

// View is all that traffic needs to know at one moment; it is immutable.
type View struct {
	*Snapshot
	// Live are the entry instances that take new work, this one included unless it leaves.
	Live []lovageyard.EntryInstance
	// Ready says that this instance can serve: it knows a configuration and the servers.
	Ready bool
	// Leaving says that this instance is about to end, and EndsAt when.
	Leaving    bool
	ShutdownAt time.Time
	// Refusing says that it takes no new requests any more.
	Refusing bool
}
