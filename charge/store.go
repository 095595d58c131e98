package charge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
)

// Bounds of the writes to the platform: the attempts to read a claim back, the timeout of one write, the
// interval and total time of its retries, and the number of writes that wait for a retry.
const (
	maxReadAttempts = 3
	writeTimeout    = 500 * time.Millisecond
	retryInterval   = time.Second
	retryTimeout    = 10 * time.Minute
	backlogSize     = 4096
)

// reasonUnclaimed tells callers that the verdict covers only this request; an earlier one with the same key may
// have run.
const reasonUnclaimed = "the key could not be claimed, so that this request was not sent; of earlier requests with the key nothing is known now"

// Errors of Claim other than *lovageyard.RequestError.
var (
	// ErrKeyReused reports a key that was used with a different method, target or body.
	ErrKeyReused = errors.New("the key was used for another request")
)

// HeldClaim is a claim that this instance holds. It permits the instance to send the request.
type HeldClaim struct {
	Claim
	// version is the version of the claim's row in an era of the store, or 0 if it is not known whether the
	// row exists.
	version int64
	era     int64
}

// Store stores the claims of one entry instance in the platform's table. It is safe for concurrent use.
type Store struct {
	table    lovageyard.Table
	timer    lovageyard.Timer
	holder   string
	sequence atomic.Int64
	backlog  chan pendingWrite
	stop     chan struct{}
	workers  sync.WaitGroup
	logger   *logrus.Logger
	recent   *recentClaims
	// restored signals that a later era was observed.
	restored chan struct{}

	eraMu sync.Mutex
	era   int64
	// settledAt is when claims of the era can be relied on, and eraObservedAt when another part of the program
	// reported the era, both by the timer's Elapsed.
	settledAt     time.Duration
	eraObservedAt time.Duration

	// rewrittenEra is the era in which lost claims were last written again. Only eraLoop uses it.
	rewrittenEra int64
}

// pendingWrite is an update of a claim that failed and is to be retried. Its claim has the new state.
type pendingWrite struct {
	held  HeldClaim
	since time.Time
}

// Option changes a Store that NewStore creates.
type Option func(s *Store)

// WithLogger makes a Store log to logger. By default it does not log.
func WithLogger(logger *logrus.Logger) Option {
	return func(s *Store) { s.logger = logger }
}

// NewStore returns a store. The holder's name is part of its claims, and has to be unique to this incarnation
// of the instance. Close releases the store's resources.
func NewStore(table lovageyard.Table, timer lovageyard.Timer, holder string, options ...Option) *Store {
	s := newStore(table, timer, holder, options)
	s.workers.Go(s.retryLoop)
	s.workers.Go(s.eraLoop)
	return s
}

// newStore returns a store whose background work has not started.
func newStore(table lovageyard.Table, timer lovageyard.Timer, holder string, options []Option) *Store {
	s := &Store{
		table:    table,
		timer:    timer,
		holder:   holder,
		backlog:  make(chan pendingWrite, backlogSize),
		stop:     make(chan struct{}),
		logger:   logrus.New(),
		recent:   newRecentClaims(),
		restored: make(chan struct{}, 1),
	}
	s.logger.SetOutput(io.Discard)
	for _, apply := range options {
		apply(s)
	}
	return s
}

// Close stops the retries and waits for those in progress. Updates that are still in the backlog are dropped.
func (s *Store) Close() {
	close(s.stop)
	s.workers.Wait()
}

// Request describes a request that is to run at most once. SendBefore is the time after which it is not sent
// any more.
type Request struct {
	Class      string
	Key        string
	Hash       string
	SendBefore time.Time
}

// Claim claims a key. It returns the held claim, or the answer of an earlier run, or an error: ErrKeyReused, or
// a *lovageyard.RequestError. Its verdict is VerdictMayHaveRun if another request with the key may have run,
// and VerdictNotRun if only this request is known not to have run.
func (s *Store) Claim(ctx context.Context, r Request) (*HeldClaim, *Answer, error) {
	next := Claim{
		Key:        r.Key,
		Class:      r.Class,
		State:      Claimed,
		Hash:       r.Hash,
		Attempt:    1,
		Holder:     fmt.Sprintf("%s/%d", s.holder, s.sequence.Add(1)),
		ClaimedAt:  s.timer.Now(),
		SendBefore: r.SendBefore,
	}
	if known, found := s.recent.get(RowKey(r.Class, r.Key)); found && known.isAnswered() {
		return s.resolveConflict(ctx, next, known, 0)
	}
	if s.unsettledTime() > 0 {
		return s.claimWhileSettling(ctx, next)
	}
	held, row, err := s.insert(ctx, next, 0)
	if err != nil || held != nil {
		return held, nil, err
	}
	return s.resolveRow(ctx, next, row)
}

// claimWhileSettling answers from the store's claim for the key if there is one, and refuses a new key.
func (s *Store) claimWhileSettling(ctx context.Context, next Claim) (*HeldClaim, *Answer, error) {
	row, err := s.table.Read(ctx, lovageyard.TableClaims, RowKey(next.Class, next.Key))
	switch {
	case errors.Is(err, lovageyard.ErrNotFound):
		return nil, nil, s.settlingError(next)
	case err != nil:
		return nil, nil, lovageyard.NotRun(reasonUnclaimed, err)
	}
	return s.resolveRow(ctx, next, row)
}

// settlingError returns the error for a key that can't be claimed until the era has settled.
func (s *Store) settlingError(next Claim) error {
	cause := &SettlingError{Remaining: s.unsettledTime()}
	known, found := s.recent.get(RowKey(next.Class, next.Key))
	if found && known.State != Released {
		return lovageyard.MayHaveRun("a request with this key is "+string(known.StateAt(s.timer.Now())), cause)
	}
	return lovageyard.NotRun(reasonUnclaimed, cause)
}

// insert writes a claim if the row still has the given version. It returns the row if another request has
// written it.
func (s *Store) insert(ctx context.Context, c Claim, version int64) (*HeldClaim, lovageyard.Row, error) {
	noRow := lovageyard.Row{}
	era := s.table.Era()
	accepted, err := s.put(ctx, c, version)
	var conflict *lovageyard.ConflictError
	switch {
	case err == nil:
		held, err := s.accept(&HeldClaim{Claim: c, version: accepted, era: era})
		return held, noRow, err
	case errors.As(err, &conflict):
		return nil, conflict.Row, nil
	case !errors.Is(err, lovageyard.ErrUnknownOutcome):
		return nil, noRow, lovageyard.NotRun(reasonUnclaimed, err)
	}
	return s.readBack(ctx, c, err)
}

// accept returns an inserted claim for use, unless the store was restored meanwhile: it may have lost an earlier
// claim with the key. The inserted one is then released.
func (s *Store) accept(h *HeldClaim) (*HeldClaim, error) {
	if s.unsettledTime() > 0 || h.era != s.table.Era() {
		err := s.settlingError(h.Claim)
		s.releaseUnused(h)
		return nil, err
	}
	s.recent.put(h.Claim, s.timer.Elapsed())
	return h, nil
}

// releaseUnused releases a claim in the background whose request was refused.
func (s *Store) releaseUnused(h *HeldClaim) {
	released := *h
	released.State = Released
	s.enqueue(pendingWrite{held: released, since: s.timer.Now()})
}

// readBack determines the outcome of an insert whose response was lost. If it cannot, the request is refused,
// and the row is released later in case it exists.
func (s *Store) readBack(ctx context.Context, c Claim, lost error) (*HeldClaim, lovageyard.Row, error) {
	noRow := lovageyard.Row{}
	for range maxReadAttempts {
		era := s.table.Era()
		row, err := s.table.Read(ctx, lovageyard.TableClaims, RowKey(c.Class, c.Key))
		if errors.Is(err, lovageyard.ErrNotFound) {
			break
		}
		if err != nil {
			continue
		}
		found, err := decode(row)
		if err != nil {
			return nil, noRow, lovageyard.NotRun("the claim could not be read", err)
		}
		if found.Holder == c.Holder {
			held, err := s.accept(&HeldClaim{Claim: c, version: row.Version, era: era})
			return held, noRow, err
		}
		return nil, row, nil
	}
	s.releaseUnused(&HeldClaim{Claim: c})
	return nil, noRow, lovageyard.NotRun(reasonUnclaimed, lost)
}

// resolveRow handles a request whose key has a claim in the store.
func (s *Store) resolveRow(ctx context.Context, next Claim, row lovageyard.Row) (*HeldClaim, *Answer, error) {
	known, err := decode(row)
	if err != nil {
		return nil, nil, lovageyard.NotRun("the claim could not be read", err)
	}
	return s.resolveConflict(ctx, next, known, row.Version)
}

// resolveConflict handles a request whose key another request has claimed, in a row with the given version.
func (s *Store) resolveConflict(ctx context.Context, next, known Claim, version int64) (*HeldClaim, *Answer, error) {
	if known.Hash != next.Hash {
		return nil, nil, ErrKeyReused
	}
	switch known.StateAt(s.timer.Now()) {
	case Recorded:
		return nil, known.Answer, nil
	case Released:
		return s.reclaim(ctx, next, known, version)
	}
	return nil, nil, lovageyard.MayHaveRun("a request with this key is "+string(known.StateAt(s.timer.Now())), nil)
}

func (s *Store) reclaim(ctx context.Context, next, known Claim, version int64) (*HeldClaim, *Answer, error) {
	if s.unsettledTime() > 0 {
		return nil, nil, s.settlingError(next)
	}
	next.Attempt = known.Attempt + 1
	held, _, err := s.insert(ctx, next, version)
	if err == nil && held == nil {
		err = lovageyard.MayHaveRun("another request with this key was faster", nil)
	}
	return held, nil, err
}

// Record stores the answer of a request that ran.
func (s *Store) Record(h *HeldClaim, a Answer) {
	h.Answer = &a
	s.update(h, eventRecord)
}

// Release makes the key of a request that did not run available again.
func (s *Store) Release(h *HeldClaim) {
	s.update(h, eventRelease)
}

// MarkUnknown records that a request may have run. An operator has to settle its claim.
func (s *Store) MarkUnknown(h *HeldClaim) {
	s.update(h, eventMarkUnknown)
}

// update writes an update now, or schedules it for a retry if the platform does not accept it.
func (s *Store) update(h *HeldClaim, event string) {
	updated := *h
	if err := updated.apply(event); err != nil {
		s.logger.WithError(err).WithField("key", RowKey(h.Class, h.Key)).Warn("a claim is not updated")
		return
	}
	s.recent.put(updated.Claim, s.timer.Elapsed())
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	w := pendingWrite{held: updated, since: s.timer.Now()}
	if !s.attempt(ctx, w) {
		s.enqueue(w)
	}
}

// attempt tries an update once. It returns true if no retry is needed: the update was written, or superseded
// by another.
func (s *Store) attempt(ctx context.Context, w pendingWrite) bool {
	if w.held.version != 0 && w.held.era == s.table.Era() {
		_, err := s.put(ctx, w.held.Claim, w.held.version)
		var conflict *lovageyard.ConflictError
		switch {
		case err == nil:
			return true
		case !errors.As(err, &conflict):
			return false
		case w.held.era == s.table.Era():
			return true
		}
	}
	err := s.writeIfSuperseding(ctx, w.held.Claim)
	if errors.Is(err, lovageyard.ErrNotFound) {
		// An insert whose outcome is unknown may still be committed.
		return w.held.version != 0
	}
	return err == nil || errors.Is(err, errSuperseded)
}

func (s *Store) put(ctx context.Context, c Claim, version int64) (int64, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(err, "claim")
	}
	key := RowKey(c.Class, c.Key)
	return s.table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: lovageyard.TableClaims, Key: key, Version: version}},
		Writes:     []lovageyard.Write{{Table: lovageyard.TableClaims, Key: key, Value: value}},
	})
}

// enqueue schedules an update for a retry. If the backlog is full the update is dropped; the claim's state then
// is Unknown once its SendBefore has passed.
func (s *Store) enqueue(w pendingWrite) {
	select {
	case s.backlog <- w:
	default:
	}
}

// retryLoop retries the updates in the backlog at an interval.
func (s *Store) retryLoop() {
	for s.sleep(retryInterval) {
		for range len(s.backlog) {
			if s.isClosed() {
				return
			}
			s.retryWrite(<-s.backlog)
		}
	}
}

// isClosed reports whether Close was called.
func (s *Store) isClosed() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// retryWrite attempts an update once more, and schedules the next attempt if that fails, until retryTimeout has
// passed.
func (s *Store) retryWrite(w pendingWrite) {
	if s.timer.Now().Sub(w.since) >= retryTimeout {
		s.logger.WithField("key", RowKey(w.held.Class, w.held.Key)).Warn("an update of a claim is given up")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if !s.attempt(ctx, w) {
		s.enqueue(w)
	}
}

// sleep returns false if the store is closed before d has passed.
func (s *Store) sleep(d time.Duration) bool {
	timer := s.timer.After(d)
	defer timer.Close()
	select {
	case <-timer.C():
		return true
	case <-s.stop:
		return false
	}
}

func decode(row lovageyard.Row) (Claim, error) {
	var c Claim
	err := json.Unmarshal(row.Value, &c)
	return c, errors.Wrap(err, "claim "+row.Key)
}
