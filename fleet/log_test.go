package fleet_test

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform"
)

// An instance must log when it stops using a server, and from where it learned that.
func TestDepartureOfAServerIsLoggedWithItsSource(t *testing.T) {
	g := newGroup(t)
	for _, name := range []string{"i-1", "i-2"} {
		g.store.PutServer(lovageyard.BackendServer{Name: name, Service: "desk", Address: "127.0.0.1:9", Slots: 1, State: lovageyard.StateLive})
	}
	logs := map[string]*logtest.Hook{}
	for _, name := range []string{"entry-0", "entry-1"} {
		address := g.address
		if name == "entry-1" {
			// It receives all rows from entry-0.
			address = "127.0.0.1:1"
		}
		client := platform.NewStore(address, discardLogger())
		s := g.settings(name, 1, client, client, "entry-0:2")
		s.Logger, logs[name] = logtest.NewNullLogger()
		s.Logger.SetOutput(io.Discard)
		control := g.startWith(s)
		defer g.stop(name)
		g.until("both servers are known", func() bool { return len(control.View().Servers) == 2 })
	}
	g.store.PutServer(lovageyard.BackendServer{Name: "i-1", Service: "desk", Address: "127.0.0.1:9", Slots: 1, State: lovageyard.StateLeaving})
	g.until("the announced departure is logged", func() bool {
		return isLogged(logs["entry-0"], "leaving", "i-1", "platform") && isLogged(logs["entry-1"], "leaving", "i-1", "entry-0")
	})
	g.store.RemoveServer("i-2")
	g.until("the removal is logged", func() bool {
		return isLogged(logs["entry-0"], "unlisted", "i-2", "platform")
	})
}

// isLogged reports whether a line says that a server is no longer used, under a field, and where that was read.
func isLogged(logs *logtest.Hook, field, server, source string) bool {
	for _, entry := range logs.AllEntries() {
		names, _ := entry.Data[field].([]string)
		if entry.Level == logrus.InfoLevel && len(names) == 1 && names[0] == server && entry.Data["source"] == source {
			return true
		}
	}
	return false
}
