package charge

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// restoreCase is a charge at the time of a restore, and how its key is used afterwards.
type restoreCase struct {
	outcome  string
	first    string
	wait     time.Duration
	restores int
}

func (rc restoreCase) String() string {
	return fmt.Sprintf("%s/%s first/%v later/%d restores", rc.outcome, rc.first, rc.wait, rc.restores)
}

// finish gives a held claim the outcome of a case.
func (rc restoreCase) finish(s *Store, held *HeldClaim) {
	switch rc.outcome {
	case "recorded":
		s.Record(held, Answer{Status: 201, Body: []byte("paid"), Whole: true})
	case "unknown":
		s.MarkUnknown(held)
	}
}

// stores returns the stores of the two instances in the order in which they are asked.
func (rc restoreCase) stores(h *harness) []*Store {
	if rc.first == "other" {
		return []*Store{h.b, h.a}
	}
	return []*Store{h.a, h.b}
}

func restoreCases() []restoreCase {
	var cases []restoreCase
	for _, outcome := range []string{"in flight", "recorded", "unknown"} {
		for _, first := range []string{"holder", "other"} {
			for _, wait := range []time.Duration{0, 20 * time.Second} {
				for restores := 1; restores <= 2; restores++ {
					cases = append(cases, restoreCase{outcome, first, wait, restores})
				}
			}
		}
	}
	return cases
}

// advance advances the clock in small steps, in which the background work runs.
func (h *harness) advance(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += retryInterval / 10 {
		h.clock.Advance(retryInterval / 10)
		time.Sleep(time.Millisecond)
	}
}

// TestChargeRunsOnceAfterRestores guards against a second run of a charge whose claim a restored store has lost.
func TestChargeRunsOnceAfterRestores(t *testing.T) {
	for _, rc := range restoreCases() {
		t.Run(rc.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			copied := h.table.Checkpoint()
			held, _, err := h.claim(h.a, "hash")
			h.c.Assert(err, qt.IsNil)
			rc.finish(h.a, held)
			for range rc.restores {
				h.table.Restore(copied)
				h.clock.Advance(rc.wait)
				for _, s := range rc.stores(h) {
					again, _, _ := h.claim(s, "hash")
					h.c.Assert(again, qt.IsNil)
				}
			}
			for range 60 {
				h.advance(time.Second)
				for _, s := range rc.stores(h) {
					again, _, _ := h.claim(s, "hash")
					h.c.Assert(again, qt.IsNil)
				}
			}
			if rc.outcome == "in flight" {
				h.a.Record(held, Answer{Status: 201, Body: []byte("paid"), Whole: true})
			}
			for _, s := range rc.stores(h) {
				again, answer, err := h.claim(s, "hash")
				h.c.Assert(again, qt.IsNil)
				if rc.outcome == "unknown" {
					h.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
					continue
				}
				h.c.Assert(err, qt.IsNil)
				h.c.Assert(string(answer.Body), qt.Equals, "paid")
			}
		})
	}
}

// TestNewKeysAreClaimedSoonAfterARestore checks that both instances accept new keys within a minute after the
// last of two restores, and refuse them as not run until then.
func TestNewKeysAreClaimedSoonAfterARestore(t *testing.T) {
	for _, idle := range []time.Duration{0, 20 * time.Second, time.Minute} {
		t.Run(idle.String(), func(t *testing.T) {
			h := newHarness(t)
			copied := h.table.Checkpoint()
			h.table.Restore(copied)
			h.advance(5 * time.Second)
			h.table.Restore(copied)
			restoredAt := h.clock.Now()
			h.advance(idle)
			for n, s := range []*Store{h.a, h.b} {
				key := fmt.Sprint("key of ", n)
				request := Request{Class: "charges", Key: key, SendBefore: h.clock.Now().Add(time.Hour)}
				held, _, err := s.Claim(context.Background(), request)
				for held == nil && h.clock.Now().Sub(restoredAt) < time.Minute {
					h.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
					h.advance(time.Second)
					held, _, err = s.Claim(context.Background(), request)
				}
				h.c.Assert(held, qt.IsNotNil)
			}
		})
	}
}

// TestLostInsertDelaysNoOtherUpdate checks that an insert that was lost, and whose release is therefore retried, does
// not hold up the answer of another request.
func TestLostInsertDelaysNoOtherUpdate(t *testing.T) {
	h := newHarness(t)
	held, _, err := h.claim(h.a, "hash")
	h.c.Assert(err, qt.IsNil)
	h.table.set(func() { h.table.lostBefore = true })
	_, _, err = h.a.Claim(context.Background(), Request{Class: "charges", Key: "lost", SendBefore: h.clock.Now().Add(time.Second)})
	h.c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
	h.a.Record(held, Answer{Status: 201, Whole: true})
	h.table.set(func() { h.table.lostBefore = false })
	h.until(func() bool { return h.state() == Recorded })
}
