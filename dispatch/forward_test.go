package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// A request that another instance asks to send counts as one of this instance's: the server has asked this
// instance for less, or leaves.
func TestForwardedRequestsRespectBackpressure(t *testing.T) {
	for _, requested := range []lovageyard.Backpressure{{Leaving: true}, {Backoff: time.Second}, {Limited: true, Limit: 0}} {
		tt := newTestTable(t)
		b := tt.listed("east-0").BackendServer
		_, allowed := tt.table.Forward("east-0", b.Incarnation, tt.now)
		tt.c.Check(allowed, qt.IsTrue)
		tt.observe("east-0", requested)
		_, allowed = tt.table.Forward("east-0", b.Incarnation, tt.now)
		tt.c.Check(allowed, qt.IsFalse, qt.Commentf("%+v", requested))
	}
}

func TestForwardedRequestsNeedTheServersIncarnation(t *testing.T) {
	tt := newTestTable(t)
	b := tt.listed("east-0").BackendServer
	_, allowed := tt.table.Forward("east-0", b.Incarnation+1, tt.now)
	tt.c.Check(allowed, qt.IsFalse)
	_, allowed = tt.table.Forward("unknown", 0, tt.now)
	tt.c.Check(allowed, qt.IsFalse)
}

// An instance that reached no server must not go on to exclude servers once its requests take another way.
func TestFailuresOfAPartitionExcludeNoServers(t *testing.T) {
	tt := newTestTable(t)
	for range 200 {
		choice := tt.choose("")
		if choice.Refused {
			break
		}
		tt.finish(choice, dispatch.Outcome{Failed: true})
	}
	tt.c.Assert(tt.choose("").Refused, qt.IsTrue)
	tt.table.ForgetFailures()
	tt.c.Assert(tt.choose("").Refused, qt.IsFalse)
}
