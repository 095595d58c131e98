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

// faultyTable is a table with injected faults.
type faultyTable struct {
	*memory.Store

	mu         sync.Mutex
	down       bool
	lostBefore bool
	lostAfter  bool
	unreadable bool
	writes     int
}

var errDown = errors.New("down")

func (f *faultyTable) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *faultyTable) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
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

func (f *faultyTable) Read(ctx context.Context, table, key string) (lovageyard.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.unreadable {
		return lovageyard.Row{}, errDown
	}
	return f.Store.Read(ctx, table, key)
}

// harness is a table with the stores of two instances.
type harness struct {
	c     *qt.C
	table *faultyTable
	clock *timer.Manual
	a, b  *Store
}

func newHarness(t *testing.T) *harness {
	h := &harness{c: qt.New(t), table: &faultyTable{Store: memory.NewStore()}, clock: timer.NewManual(time.Unix(1000, 0))}
	h.a = NewStore(h.table, h.clock, "a/1")
	h.b = NewStore(h.table, h.clock, "b/1")
	t.Cleanup(h.a.Close)
	t.Cleanup(h.b.Close)
	return h
}

func (h *harness) claim(s *Store, hash string) (*HeldClaim, *Answer, error) {
	return s.Claim(context.Background(), Request{
		Class: "charges", Key: "key-1", Hash: hash, SendBefore: h.clock.Now().Add(3 * time.Second),
	})
}

// state returns the state of the claim's row, or "" if there is none.
func (h *harness) state() State {
	c, _, err := Get(context.Background(), h.table.Store, RowKey("charges", "key-1"))
	if err != nil {
		return ""
	}
	return c.StateAt(h.clock.Now())
}

// TestSecondRequest sends a request with the same key from a second instance, after each outcome of the first.
func TestSecondRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome func(h *harness, held *HeldClaim)
		// The result of the second request: a held claim, an answer, or a verdict.
		claim   bool
		status  int
		verdict lovageyard.Verdict
	}{
		{"holder still sending", func(*harness, *HeldClaim) {}, false, 0, lovageyard.VerdictMayHaveRun},
		{"holder died", func(h *harness, _ *HeldClaim) { h.clock.Advance(time.Minute) }, false, 0, lovageyard.VerdictMayHaveRun},
		{"recorded", func(h *harness, held *HeldClaim) { h.a.Record(held, Answer{Status: 201, Whole: true}) }, false, 201, ""},
		{"released", func(h *harness, held *HeldClaim) { h.a.Release(held) }, true, 0, ""},
		{"lost", func(h *harness, held *HeldClaim) { h.a.MarkUnknown(held) }, false, 0, lovageyard.VerdictMayHaveRun},
		{"recorded with the answer lost", func(h *harness, held *HeldClaim) {
			h.table.set(func() { h.table.lostAfter = true })
			h.a.Record(held, Answer{Status: 201, Whole: true})
			h.table.set(func() { h.table.lostAfter = false })
		}, false, 201, ""},
		{"platform down when it was to be recorded", func(h *harness, held *HeldClaim) {
			h.table.set(func() { h.table.down = true })
			h.a.Record(held, Answer{Status: 201, Whole: true})
			h.table.set(func() { h.table.down = false })
		}, false, 0, lovageyard.VerdictMayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			claim, answer, err := h.claim(h.a, "hash")
			h.c.Assert(err, qt.IsNil)
			h.c.Assert(answer, qt.IsNil)
			test.outcome(h, claim)
			claim, answer, err = h.claim(h.b, "hash")
			h.c.Assert(claim != nil, qt.Equals, test.claim)
			if test.status != 0 {
				h.c.Assert(answer.Status, qt.Equals, test.status)
			}
			if test.verdict != "" {
				h.c.Assert(lovageyard.VerdictOf(err), qt.Equals, test.verdict)
			}
			_, _, err = h.claim(h.b, "other hash")
			h.c.Assert(err, qt.Equals, ErrKeyReused)
		})
	}
}

// TestInsertFaults checks that a claim is held only if its row is known to exist.
func TestInsertFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(f *faultyTable)
		claim bool
	}{
		{"none", func(*faultyTable) {}, true},
		{"down", func(f *faultyTable) { f.down = true }, false},
		{"lost before it took effect", func(f *faultyTable) { f.lostBefore = true }, false},
		{"lost after it took effect", func(f *faultyTable) { f.lostAfter = true }, true},
		{"lost and unreadable", func(f *faultyTable) { f.lostAfter, f.unreadable = true, true }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.table.set(func() { test.fault(h.table) })
			claim, _, err := h.claim(h.a, "hash")
			h.c.Assert(claim != nil, qt.Equals, test.claim)
			if !test.claim {
				h.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
			}
		})
	}
}

// TestRefusedClaimIsReleasedLater checks that a key does not stay blocked if the request was refused because
// the outcome of the insert is unknown.
func TestRefusedClaimIsReleasedLater(t *testing.T) {
	h := newHarness(t)
	h.table.set(func() { h.table.lostAfter, h.table.unreadable = true, true })
	_, _, err := h.claim(h.a, "hash")
	h.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
	h.table.set(func() { h.table.lostAfter, h.table.unreadable = false, false })
	h.until(func() bool { return h.state() == Released })
	claim, _, err := h.claim(h.b, "hash")
	h.c.Assert(err, qt.IsNil)
	h.c.Assert(claim.Attempt, qt.Equals, int64(2))
}

// TestRecordIsRetried checks that an answer is recorded once the platform is available again.
func TestRecordIsRetried(t *testing.T) {
	h := newHarness(t)
	claim, _, err := h.claim(h.a, "hash")
	h.c.Assert(err, qt.IsNil)
	h.table.set(func() { h.table.down = true })
	h.a.Record(claim, Answer{Status: 200, Whole: true})
	h.table.set(func() { h.table.down = false })
	h.until(func() bool { return h.state() == Recorded })
}

// until advances the clock until a condition holds.
func (h *harness) until(holds func() bool) {
	for range 2000 {
		if holds() {
			return
		}
		h.clock.Advance(retryInterval / 10)
		time.Sleep(time.Millisecond)
	}
	h.c.Fatal("the condition was not met")
}

// TestConcurrentClaims claims one key many times concurrently; exactly one request gets it.
func TestConcurrentClaims(t *testing.T) {
	h := newHarness(t)
	var claimers sync.WaitGroup
	holders := make(chan *HeldClaim, 20)
	for n := range 20 {
		claimers.Go(func() {
			store := h.a
			if n%2 == 0 {
				store = h.b
			}
			if claim, _, _ := h.claim(store, "hash"); claim != nil {
				holders <- claim
			}
		})
	}
	claimers.Wait()
	h.c.Assert(len(holders), qt.Equals, 1)
}

func TestSettle(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	claim, _, err := h.claim(h.a, "hash")
	h.c.Assert(err, qt.IsNil)
	_, err = Settle(claim.Claim, true, "olle", h.clock.Now())
	h.c.Assert(err, qt.ErrorMatches, ".*only an unknown claim.*")
	h.a.MarkUnknown(claim)
	list, err := List(ctx, h.table, Unknown, h.clock.Now())
	h.c.Assert(err, qt.IsNil)
	h.c.Assert(list, qt.HasLen, 1)
	for _, ran := range []bool{true, false} {
		settled, err := Settle(list[0], ran, "olle", h.clock.Now())
		h.c.Assert(err, qt.IsNil)
		h.c.Assert(settled.SettledBy, qt.Equals, "olle")
		h.c.Assert(settled.State == Recorded, qt.Equals, ran)
	}
}

// A charge costs two writes: one for the claim, one for the answer.
func TestWritesPerCharge(t *testing.T) {
	h := newHarness(t)
	claim, _, err := h.claim(h.a, "hash")
	h.c.Assert(err, qt.IsNil)
	h.a.Record(claim, Answer{Status: 200, Whole: true})
	h.c.Assert(h.table.writes, qt.Equals, 2)
}

func TestCheckKey(t *testing.T) {
	for _, test := range []struct {
		key string
		ok  bool
	}{{"a1-B2", true}, {"", false}, {"two words", false}, {"ö", false}, {string(make([]byte, 300)), false}} {
		qt.New(t).Assert(CheckKey(test.key) == nil, qt.Equals, test.ok)
	}
}

// The platform's store comes back from a copy that is older than the claim, and the request is sent again, to
// either instance. It must not run a second time.
func TestClaimHoldsAfterARestoreOfTheStore(t *testing.T) {
	h := newHarness(t)
	copied := h.table.Checkpoint()
	held, _, err := h.claim(h.a, "hash")
	h.c.Assert(err, qt.IsNil)
	h.a.Record(held, Answer{Status: 201, Whole: true})
	h.table.Restore(copied)
	for _, s := range []*Store{h.a, h.b} {
		again, _, _ := h.claim(s, "hash")
		h.c.Check(again, qt.IsNil)
	}
}
