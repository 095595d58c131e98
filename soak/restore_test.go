package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// A server that registers again after a restore, over the entry that another program has written, may get requests. It
// may not once a later restore has brought the other program's entry back.
func TestServerThatRegistersOverAForeignEntryHasReturned(t *testing.T) {
	c := qt.New(t)
	d := &deployment{check: newChecker(), store: fake.NewStore(), overwritten: make(map[string]bool)}
	defer d.store.Close()
	const name = "i-1"
	hasLeft := func() bool {
		_, found := d.check.leftAt[name]
		return found
	}
	empty := d.store.Checkpoint()
	d.store.PutServer(lovageyard.BackendServer{Name: name, Service: "desk", Slots: 1, State: lovageyard.StateLive})
	d.restoreFrom(empty, restoreRefusing)
	d.store.PutForeign("servers", name, foreignEntries[0])
	d.check.RecordLeaving(name)
	d.setOverwritten(name, true)
	overwritten := d.store.Checkpoint()
	c.Assert(hasLeft(), qt.IsTrue)
	d.rewrite()
	c.Assert(hasLeft(), qt.IsFalse)
	d.restoreFrom(overwritten, restoreRefusing)
	c.Assert(hasLeft(), qt.IsTrue)
	d.rewrite()
	c.Assert(hasLeft(), qt.IsFalse)
}
