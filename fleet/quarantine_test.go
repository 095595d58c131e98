package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/quarantine"
)

// All instances exit at the same time and lose their state. The quarantined requests are stored on the
// platform, so that no further server has to crash before they are quarantined again.
func TestQuarantineSurvivesTheExitOfAllInstances(t *testing.T) {
	const poison = 0xdead
	g := newGroup(t)
	client := platform.NewStore(g.address, discardLogger())
	start := func(name string) *quarantine.Monitor {
		s := g.settings(name, 1, client, client)
		m := quarantine.NewMonitor(quarantine.Settings{Prober: neverExited{}, Timer: s.Timer, Logger: s.Logger, Metrics: s.Metrics})
		s.Quarantine = m
		control := g.startWith(s)
		g.c.Cleanup(m.Close)
		g.until("readiness", func() bool { return control.View().Ready })
		return m
	}
	first := start("entry-0")
	empty := g.store.Checkpoint()
	for n := range 3 {
		time.Sleep(2 * time.Millisecond)
		crashServer(first, fmt.Sprint("server-", n), poison)
	}
	rows := func() []lovageyard.Row {
		list, err := client.Rows(t.Context(), lovageyard.TableQuarantine)
		g.c.Assert(err, qt.IsNil)
		return list.Rows
	}
	g.until("the row", func() bool { return len(rows()) == 1 })
	// The row is written again if the platform's store is restored from a copy that lacks it.
	g.store.Restore(empty)
	g.until("the row again", func() bool { return len(rows()) == 1 })
	// Add a row of a request that is not quarantined, and an invalid one, which must not be removed.
	g.store.Put(platform.StoreTable(lovageyard.TableQuarantine), "1", map[string]any{"crashes": []any{}})
	g.store.Put(platform.StoreTable(lovageyard.TableQuarantine), "none", "nonsense")
	g.stop("entry-0")
	second := start("entry-1")
	defer g.stop("entry-1")
	g.until("the request is quarantined", func() bool { return second.Evaluate(poison).Quarantined })
	g.until("the expired row is removed", func() bool { return len(rows()) == 2 })
}
