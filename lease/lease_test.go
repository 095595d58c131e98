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

const span = 6 * time.Second

// flaky is a table whose writes may lose their answers, or not happen at all.
type flaky struct {
	lovageyard.Table
	loseAnswers bool
	down        bool
}

func (f *flaky) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	if f.down {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "down")
	}
	version, err := f.Table.Transact(ctx, t)
	if f.loseAnswers {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "answer lost")
	}
	return version, err
}

type rig struct {
	clock *timer.Manual
	table *flaky
	a, b  *Lease
}

func newRig() *rig {
	r := &rig{clock: timer.NewManual(time.Unix(1000, 0)), table: &flaky{Table: memory.NewStore()}}
	r.a = New(r.table, "planner", "a", "a:1", span)
	r.b = New(r.table, "planner", "b", "b:1", span)
	return r
}

func (r *rig) try(c *qt.C, l *Lease) bool {
	if err := l.Try(context.Background(), r.clock); err != nil {
		c.Assert(errors.Is(err, lovageyard.ErrUnknownOutcome), qt.IsTrue, qt.Commentf("%v", err))
	}
	return l.Held(r.clock.Now())
}

func TestOneHolder(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	c.Assert(r.try(c, r.a), qt.IsTrue)
	for range 20 {
		r.clock.Advance(span / 3)
		c.Assert(r.try(c, r.a), qt.IsTrue)
		c.Assert(r.try(c, r.b), qt.IsFalse)
	}
	c.Assert(r.a.Record().Epoch, qt.Equals, int64(1))
	c.Assert(r.b.Record().Holder, qt.Equals, "a")
}

func TestPausedHolderLosesTheLeaseAndItsWrites(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	c.Assert(r.try(c, r.a), qt.IsTrue)
	c.Assert(r.try(c, r.b), qt.IsFalse)
	guard := r.a.Condition()
	r.clock.Advance(span)
	c.Assert(r.a.Held(r.clock.Now()), qt.IsFalse)
	c.Assert(r.try(c, r.b), qt.IsTrue)
	c.Assert(r.b.Record().Epoch, qt.Equals, int64(2))
	_, err := r.table.Transact(context.Background(), lovageyard.Transaction{
		Conditions: []lovageyard.Condition{guard},
		Writes:     []lovageyard.Write{{Table: lovageyard.TablePlans, Key: "class", Value: []byte("stale")}},
	})
	var conflict *lovageyard.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(r.try(c, r.a), qt.IsFalse)
}

func TestNewcomerWaitsTheWholeSpan(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	c.Assert(r.try(c, r.a), qt.IsTrue)
	r.clock.Advance(10 * span)
	c.Assert(r.try(c, r.b), qt.IsFalse, qt.Commentf("b has not watched the lease for its span"))
	r.clock.Advance(span)
	c.Assert(r.try(c, r.b), qt.IsTrue)
}

func TestLostAnswers(t *testing.T) {
	c := qt.New(t)
	r := newRig()
	r.table.loseAnswers = true
	c.Assert(r.try(c, r.a), qt.IsFalse, qt.Commentf("an outcome that is not known is no lease"))
	r.table.loseAnswers = false
	c.Assert(r.try(c, r.a), qt.IsTrue, qt.Commentf("the row that is read back is its own"))
	c.Assert(r.try(c, r.b), qt.IsFalse)
	r.table.down = true
	r.clock.Advance(span)
	c.Assert(r.try(c, r.a), qt.IsFalse)
	c.Assert(r.try(c, r.b), qt.IsFalse)
}
