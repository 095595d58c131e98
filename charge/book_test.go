package charge

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/memory"
	"lovageyard.example/lovageyard/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// faulty is a table with the platform's faults.
type faulty struct {
	*memory.Store

	mu         sync.Mutex
	down       bool
	lostBefore bool
	lostAfter  bool
	unreadable bool
	writes     int
}

var errDown = errors.New("down")

func (f *faulty) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *faulty) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.down || f.lostBefore {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "lost")
	}
	version, err := f.Store.Transact(ctx, t)
	if f.lostAfter {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "lost")
	}
	return version, err
}

func (f *faulty) Read(ctx context.Context, table, key string) (lovageyard.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.unreadable {
		return lovageyard.Row{}, errDown
	}
	return f.Store.Read(ctx, table, key)
}

type rig struct {
	c     *qt.C
	table *faulty
	clock *timer.Manual
	a, b  *Store
}

func newRig(t *testing.T) *rig {
	r := &rig{c: qt.New(t), table: &faulty{Store: memory.NewStore()}, clock: timer.NewManual(time.Unix(1000, 0))}
	r.a = NewStore(r.table, r.clock, "a/1")
	r.b = NewStore(r.table, r.clock, "b/1")
	t.Cleanup(r.a.Close)
	t.Cleanup(r.b.Close)
	return r
}

func (r *rig) claim(b *Store, hash string) (*HeldClaim, *Answer, error) {
	return b.Claim(context.Background(), Request{
		Class: "charges", Key: "key-1", Hash: hash, SendBefore: r.clock.Now().Add(3 * time.Second),
	})
}

func (r *rig) state() State {
	c, _, err := Get(context.Background(), r.table.Store, RowKey("charges", "key-1"))
	if err != nil {
		return ""
	}
	return c.StateAt(r.clock.Now())
}

// TestSecondRequest gives a second instance the same key after each fate of the first.
func TestSecondRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		fate func(r *rig, h *HeldClaim)
		// what the second request gets: held, an answer, or a verdict.
		held    bool
		status  int
		verdict lovageyard.Verdict
	}{
		{"holder still sending", func(*rig, *HeldClaim) {}, false, 0, lovageyard.VerdictMayHaveRun},
		{"holder died", func(r *rig, _ *HeldClaim) { r.clock.Advance(time.Minute) }, false, 0, lovageyard.VerdictMayHaveRun},
		{"recorded", func(r *rig, h *HeldClaim) { r.a.Record(h, Answer{Status: 201, Whole: true}) }, false, 201, ""},
		{"released", func(r *rig, h *HeldClaim) { r.a.Release(h) }, true, 0, ""},
		{"lost", func(r *rig, h *HeldClaim) { r.a.MarkUnknown(h) }, false, 0, lovageyard.VerdictMayHaveRun},
		{"recorded with the answer lost", func(r *rig, h *HeldClaim) {
			r.table.set(func() { r.table.lostAfter = true })
			r.a.Record(h, Answer{Status: 201, Whole: true})
			r.table.set(func() { r.table.lostAfter = false })
		}, false, 201, ""},
		{"platform down when it was to be recorded", func(r *rig, h *HeldClaim) {
			r.table.set(func() { r.table.down = true })
			r.a.Record(h, Answer{Status: 201, Whole: true})
			r.table.set(func() { r.table.down = false })
		}, false, 0, lovageyard.VerdictMayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			held, answer, err := r.claim(r.a, "hash")
			r.c.Assert(err, qt.IsNil)
			r.c.Assert(answer, qt.IsNil)
			test.fate(r, held)
			held, answer, err = r.claim(r.b, "hash")
			r.c.Assert(held != nil, qt.Equals, test.held)
			if test.status != 0 {
				r.c.Assert(answer.Status, qt.Equals, test.status)
			}
			if test.verdict != "" {
				r.c.Assert(lovageyard.VerdictOf(err), qt.Equals, test.verdict)
			}
			_, _, err = r.claim(r.b, "other hash")
			r.c.Assert(err, qt.Equals, ErrKeyReused)
		})
	}
}

// TestFaultsOfTheInsert checks that a claim is held only if its row is known to be there.
func TestFaultsOfTheInsert(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(f *faulty)
		held  bool
	}{
		{"none", func(*faulty) {}, true},
		{"down", func(f *faulty) { f.down = true }, false},
		{"lost before it took effect", func(f *faulty) { f.lostBefore = true }, false},
		{"lost after it took effect", func(f *faulty) { f.lostAfter = true }, true},
		{"lost and unreadable", func(f *faulty) { f.lostAfter, f.unreadable = true, true }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.table.set(func() { test.fault(r.table) })
			held, _, err := r.claim(r.a, "hash")
			r.c.Assert(held != nil, qt.Equals, test.held)
			if !test.held {
				r.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
			}
		})
	}
}

// TestRefusedClaimIsReleasedLater checks that a refused request does not block its key.
func TestRefusedClaimIsReleasedLater(t *testing.T) {
	r := newRig(t)
	r.table.set(func() { r.table.lostAfter, r.table.unreadable = true, true })
	_, _, err := r.claim(r.a, "hash")
	r.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
	r.table.set(func() { r.table.lostAfter, r.table.unreadable = false, false })
	r.until(func() bool { return r.state() == Released })
	held, _, err := r.claim(r.b, "hash")
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(held.Attempt, qt.Equals, int64(2))
}

// TestRecordIsRetried checks that an answer is recorded once the platform is back.
func TestRecordIsRetried(t *testing.T) {
	r := newRig(t)
	held, _, err := r.claim(r.a, "hash")
	r.c.Assert(err, qt.IsNil)
	r.table.set(func() { r.table.down = true })
	r.a.Record(held, Answer{Status: 200, Whole: true})
	r.table.set(func() { r.table.down = false })
	r.until(func() bool { return r.state() == Recorded })
}

// until moves the time on until a condition holds.
func (r *rig) until(holds func() bool) {
	for range 2000 {
		if holds() {
			return
		}
		r.clock.Advance(retryEvery / 10)
		time.Sleep(time.Millisecond)
	}
	r.c.Fatal("the condition did not come about")
}

// TestRace lets many requests claim one key at once: exactly one holds it.
func TestRace(t *testing.T) {
	r := newRig(t)
	var racing sync.WaitGroup
	holders := make(chan *HeldClaim, 20)
	for n := range 20 {
		racing.Go(func() {
			book := r.a
			if n%2 == 0 {
				book = r.b
			}
			if held, _, _ := r.claim(book, "hash"); held != nil {
				holders <- held
			}
		})
	}
	racing.Wait()
	r.c.Assert(len(holders), qt.Equals, 1)
}

func TestSettle(t *testing.T) {
	r := newRig(t)
	ctx := context.Background()
	held, _, err := r.claim(r.a, "hash")
	r.c.Assert(err, qt.IsNil)
	_, err = Settle(held.Claim, true, "olle", r.clock.Now())
	r.c.Assert(err, qt.ErrorMatches, ".*only an unknown claim.*")
	r.a.MarkUnknown(held)
	list, err := List(ctx, r.table, Unknown, r.clock.Now())
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(list, qt.HasLen, 1)
	for _, ran := range []bool{true, false} {
		settled, err := Settle(list[0], ran, "olle", r.clock.Now())
		r.c.Assert(err, qt.IsNil)
		r.c.Assert(settled.SettledBy, qt.Equals, "olle")
		r.c.Assert(settled.State == Recorded, qt.Equals, ran)
	}
}

func TestWritesOfOneCharge(t *testing.T) {
	r := newRig(t)
	held, _, err := r.claim(r.a, "hash")
	r.c.Assert(err, qt.IsNil)
	r.a.Record(held, Answer{Status: 200, Whole: true})
	r.c.Assert(r.table.writes, qt.Equals, 2)
}

func TestCheckKey(t *testing.T) {
	for _, test := range []struct {
		key string
		ok  bool
	}{{"a1-B2", true}, {"", false}, {"two words", false}, {"ö", false}, {string(make([]byte, 300)), false}} {
		qt.New(t).Assert(CheckKey(test.key) == nil, qt.Equals, test.ok)
	}
}
