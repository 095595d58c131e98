package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers are served better by instances that reach the backend servers themselves.
func TestIsolatedInstanceAsksToBeLeftOutOfLookUps(t *testing.T) {
	g := newGroup(t)
	isolated := g.start("entry-0", 1, g.address)
	other := g.start("entry-1", time.Now().UnixNano(), g.address, "entry-0")
	g.until("both are ready", func() bool { return isolated.View().Ready && other.View().Ready && len(other.View().Live) == 2 })
	g.until("no instance is stale", func() bool { return !considersStale(other, "entry-0") })
	isolated.SetIsolated(true)
	g.until("the other one knows", func() bool { return considersStale(other, "entry-0") })
	g.c.Assert(isolated.View().Ready, qt.IsTrue)
	isolated.SetIsolated(false)
	g.until("the other one knows of the end", func() bool { return !considersStale(other, "entry-0") })
}
