package detour_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/footprint"
)

// An instance that sends requests for others must not hold more for them than its memory allows. What it rejects has
// not run, and the sender may ask another instance.
func TestAttemptsForPeersCountTowardTheBudget(t *testing.T) {
	memory := footprint.NewPool(1 << 20)
	f := newFleetWithMemory(t, memory, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	held := memory.Reserve(800<<10, time.Now())
	large := request("1", "c")
	large.Body = make([]byte, 100<<10)
	_, err := f.send("x", large)
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictNotRun)
	f.c.Assert(f.backends.count("1"), qt.Equals, 0)
	// The peer is not used for a while after it could not send a request.
	for f.backends.count("2") == 0 {
		_, _ = f.send("x", request("2", "c"))
		time.Sleep(10 * time.Millisecond)
	}
	held.Release(time.Now())
	response, err := f.send("x", large)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(response.Through, qt.Equals, "y")
	for memory.Stats().Used > 0 {
		time.Sleep(time.Millisecond)
	}
}

// The reply of a peer is read into memory as a server's response is: it has to be reserved before.
func TestReplyOfPeerIsReserved(t *testing.T) {
	f := newFleet(t, "x", "y")
	f.networks["x"].cut(&hanging)
	f.lose("x")
	r := request("1", "c")
	reserved := int64(0)
	r.Reserve = func(bytes int64) error {
		reserved = bytes
		return nil
	}
	response, err := f.send("x", r)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(reserved >= int64(len(response.Body)), qt.IsTrue)
	r = request("2", "c")
	r.Reserve = func(int64) error { return errors.New("no room") }
	_, err = f.send("x", r)
	f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictMayHaveRun)
	f.c.Assert(f.backends.count("2"), qt.Equals, 1)
}
