package lease

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/memory"
	"lovageyard.example/lovageyard/timer"
)

const leaseDuration = 6 * time.Second

// faultyTable is a table whose writes may lose their responses or fail.
type faultyTable struct {
	lovageyard.Table
	loseResponses bool
	down          bool
}

func (f *faultyTable) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	if f.down {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "down")
	}
	version, err := f.Table.Transact(ctx, t)
	if f.loseResponses {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "response lost")
	}
	return version, err
}

// fixture is a table with the views that two instances, a and b, have of one lease.
type fixture struct {
	clock *timer.Manual
	table *faultyTable
	a, b  *Lease
}

func newFixture() *fixture {
	f := &fixture{clock: timer.NewManual(time.Unix(1000, 0)), table: &faultyTable{Table: memory.NewStore()}}
	f.a = New(f.table, "planner", "a", "a:1", leaseDuration)
	f.b = New(f.table, "planner", "b", "b:1", leaseDuration)
	return f
}

// try calls Try, which may fail only with an unknown outcome, and returns whether l is then held.
func (f *fixture) try(c *qt.C, l *Lease) bool {
	if err := l.Try(context.Background(), f.clock); err != nil {
		c.Assert(errors.Is(err, lovageyard.ErrUnknownOutcome), qt.IsTrue, qt.Commentf("%v", err))
	}
	return l.Held(f.clock.Now())
}

func TestOneHolder(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	c.Assert(f.try(c, f.a), qt.IsTrue)
	for range 20 {
		f.clock.Advance(leaseDuration / 3)
		c.Assert(f.try(c, f.a), qt.IsTrue)
		c.Assert(f.try(c, f.b), qt.IsFalse)
	}
	c.Assert(f.a.Record().Epoch, qt.Equals, int64(1))
	c.Assert(f.b.Record().Holder, qt.Equals, "a")
}

func TestPausedHolderLosesLeaseAndWrites(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	c.Assert(f.try(c, f.a), qt.IsTrue)
	c.Assert(f.try(c, f.b), qt.IsFalse)
	condition := f.a.Condition()
	f.clock.Advance(leaseDuration)
	c.Assert(f.a.Held(f.clock.Now()), qt.IsFalse)
	c.Assert(f.try(c, f.b), qt.IsTrue)
	c.Assert(f.b.Record().Epoch, qt.Equals, int64(2))
	_, err := f.table.Transact(context.Background(), lovageyard.Transaction{
		Conditions: []lovageyard.Condition{condition},
		Writes:     []lovageyard.Write{{Table: lovageyard.TablePlans, Key: "class", Value: []byte("stale")}},
	})
	var conflict *lovageyard.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(f.try(c, f.a), qt.IsFalse)
}

// An instance cannot tell how long ago a row that it reads for the first time was written.
func TestNewLeaseWaitsForFullDuration(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	c.Assert(f.try(c, f.a), qt.IsTrue)
	f.clock.Advance(10 * leaseDuration)
	c.Assert(f.try(c, f.b), qt.IsFalse, qt.Commentf("b has not observed the row for the lease's duration"))
	f.clock.Advance(leaseDuration)
	c.Assert(f.try(c, f.b), qt.IsTrue)
}

func TestLostResponses(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.table.loseResponses = true
	c.Assert(f.try(c, f.a), qt.IsFalse, qt.Commentf("a write of unknown outcome does not acquire the lease"))
	f.table.loseResponses = false
	c.Assert(f.try(c, f.a), qt.IsTrue, qt.Commentf("the row names a as the holder"))
	c.Assert(f.try(c, f.b), qt.IsFalse)
	f.table.down = true
	f.clock.Advance(leaseDuration)
	c.Assert(f.try(c, f.a), qt.IsFalse)
	c.Assert(f.try(c, f.b), qt.IsFalse)
}
