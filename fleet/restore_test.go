package fleet_test

import (
	"fmt"
	"testing"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/fleet"
)

// putVersion writes a configuration that has only a version and a service, as the operator does.
func (g *group) putVersion(version uint64) {
	g.store.PutConfiguration(lovageyard.Configuration{
		Version: version, Services: map[string]lovageyard.Service{"desk": {Name: "desk"}},
	})
}

// putServer writes the entry of one incarnation of a server, as the server does.
func (g *group) putServer(name string, state lovageyard.InstanceState) {
	g.store.PutServer(lovageyard.BackendServer{
		Name: name, Incarnation: 7, Service: "desk", FailureDomain: "north-1", Address: "127.0.0.1:9", Slots: 4, State: state,
	})
}

// serverOf returns a server as an instance sees it, or nil.
func serverOf(control *fleet.Control, name string) *catalog.Server {
	for _, s := range control.View().Servers {
		if s.Name == name {
			return &s
		}
	}
	return nil
}

// isLeaving reports whether an instance sees a server as leaving.
func isLeaving(control *fleet.Control, name string) bool {
	s := serverOf(control, name)
	return s != nil && s.State == lovageyard.StateLeaving
}

// startFleet starts three instances and waits until they know each other and the server "a".
func (g *group) startFleet() []*fleet.Control {
	var controls []*fleet.Control
	for i := range 3 {
		name := fmt.Sprint("entry-", i)
		controls = append(controls, g.start(name, 1, g.address))
		g.c.Cleanup(func() { g.stop(name) })
	}
	for _, control := range controls {
		g.until("readiness", func() bool {
			return len(control.View().Live) == 3 && control.View().Ready && serverOf(control, "a") != nil
		})
	}
	return controls
}

// The store comes back from an older copy and assigns versions again that the instances have seen.
func TestConfigurationAfterARestoreIsInForce(t *testing.T) {
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	controls := g.startFleet()
	copied := g.store.Checkpoint()
	for next := uint64(2); next <= 20; next++ {
		g.putVersion(next)
	}
	for _, control := range controls {
		g.until("version 20", func() bool { return version(control) == 20 })
	}
	g.store.Restore(copied)
	g.putVersion(20)
	g.putVersion(21)
	for _, control := range controls {
		g.until("version 21", func() bool { return version(control) == 21 })
	}
}

// A server's entry says that it is leaving, at a version that had been assigned before the restore.
func TestServerLeavingAfterARestoreIsSeen(t *testing.T) {
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	controls := g.startFleet()
	copied := g.store.Checkpoint()
	for range 20 {
		g.putServer("b", lovageyard.StateLive)
	}
	for _, control := range controls {
		g.until("server b", func() bool { return serverOf(control, "b") != nil })
	}
	g.store.Restore(copied)
	g.putServer("b", lovageyard.StateLive)
	g.putServer("a", lovageyard.StateLeaving)
	for _, control := range controls {
		g.until("server a leaving", func() bool { return isLeaving(control, "a") })
	}
}
