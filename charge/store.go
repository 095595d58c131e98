package charge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	// version is the version of the claim's row, or 0 if it is not known whether the row exists.
	version int64
}

// Store stores the claims of one entry instance in the platform's table. It is safe for concurrent use.
type Store struct {
	table    lovageyard.Table
	timer    lovageyard.Timer
	holder   string
	sequence atomic.Int64
	backlog  chan pendingWrite
	stop     chan struct{}
	worker   sync.WaitGroup
}

// pendingWrite is an update of a claim that failed and is to be retried.
type pendingWrite struct {
	held  *HeldClaim
	event string
	since time.Time
}

// NewStore returns a store. The holder's name is part of its claims, and has to be unique to this incarnation
// of the instance. Close releases the store's resources.
func NewStore(table lovageyard.Table, timer lovageyard.Timer, holder string) *Store {
	s := &Store{
		table:   table,
		timer:   timer,
		holder:  holder,
		backlog: make(chan pendingWrite, backlogSize),
		stop:    make(chan struct{}),
	}
	s.worker.Go(s.retryLoop)
	return s
}

// Close stops the retries and waits for the one in progress. Updates that are still in the backlog are dropped.
func (s *Store) Close() {
	close(s.stop)
	s.worker.Wait()
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
	held, row, err := s.insert(ctx, next, 0)
	if err != nil || held != nil {
		return held, nil, err
	}
	return s.resolveConflict(ctx, next, row)
}

// insert writes a claim if the row still has the given version. It returns the row if another request has
// written it.
func (s *Store) insert(ctx context.Context, c Claim, version int64) (*HeldClaim, lovageyard.Row, error) {
	noRow := lovageyard.Row{}
	accepted, err := s.put(ctx, c, version)
	var conflict *lovageyard.ConflictError
	switch {
	case err == nil:
		return &HeldClaim{Claim: c, version: accepted}, noRow, nil
	case errors.As(err, &conflict):
		return nil, conflict.Row, nil
	case !errors.Is(err, lovageyard.ErrUnknownOutcome):
		return nil, noRow, lovageyard.NotRun(reasonUnclaimed, err)
	}
	return s.readBack(ctx, c, err)
}

// readBack determines the outcome of an insert whose response was lost. If it cannot, the request is refused,
// and the row is released later in case it exists.
func (s *Store) readBack(ctx context.Context, c Claim, lost error) (*HeldClaim, lovageyard.Row, error) {
	noRow := lovageyard.Row{}
	for range maxReadAttempts {
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
			return &HeldClaim{Claim: c, version: row.Version}, noRow, nil
		}
		return nil, row, nil
	}
	s.enqueue(pendingWrite{held: &HeldClaim{Claim: c}, event: eventRelease, since: s.timer.Now()})
	return nil, noRow, lovageyard.NotRun(reasonUnclaimed, lost)
}

// resolveConflict handles a request whose key another request has claimed.
func (s *Store) resolveConflict(ctx context.Context, next Claim, row lovageyard.Row) (*HeldClaim, *Answer, error) {
	known, err := decode(row)
	if err != nil {
		return nil, nil, lovageyard.NotRun("the claim could not be read", err)
	}
	if known.Hash != next.Hash {
		return nil, nil, ErrKeyReused
	}
	switch known.StateAt(s.timer.Now()) {
	case Recorded:
		return nil, known.Answer, nil
	case Released:
		return s.reclaim(ctx, next, known, row.Version)
	}
	return nil, nil, lovageyard.MayHaveRun("a request with this key is "+string(known.StateAt(s.timer.Now())), nil)
}

func (s *Store) reclaim(ctx context.Context, next, known Claim, version int64) (*HeldClaim, *Answer, error) {
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
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	w := pendingWrite{held: h, event: event, since: s.timer.Now()}
	if !s.attempt(ctx, w) {
		s.enqueue(w)
	}
}

// attempt tries an update once. It returns true if no retry is needed: the update was written, or superseded
// by another.
func (s *Store) attempt(ctx context.Context, w pendingWrite) bool {
	c := w.held.Claim
	if c.apply(w.event) != nil {
		return true
	}
	version := w.held.version
	if version == 0 {
		row, err := s.table.Read(ctx, lovageyard.TableClaims, RowKey(c.Class, c.Key))
		if err != nil {
			return false
		}
		found, err := decode(row)
		if err != nil || found.Holder != c.Holder {
			return true
		}
		version = row.Version
	}
	_, err := s.put(ctx, c, version)
	var conflict *lovageyard.ConflictError
	return err == nil || errors.As(err, &conflict)
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

// retryLoop retries the updates in the backlog.
func (s *Store) retryLoop() {
	for {
		select {
		case w := <-s.backlog:
			if !s.retryWrite(w) {
				return
			}
		case <-s.stop:
			return
		}
	}
}

// retryWrite retries an update until it succeeds or retryTimeout has passed. It returns false if the store is
// closed.
func (s *Store) retryWrite(w pendingWrite) bool {
	for s.timer.Now().Sub(w.since) < retryTimeout {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		done := s.attempt(ctx, w)
		cancel()
		if done {
			return true
		}
		timer := s.timer.After(retryInterval)
		select {
		case <-timer.C():
			timer.Close()
		case <-s.stop:
			timer.Close()
			return false
		}
	}
	return true
}

func decode(row lovageyard.Row) (Claim, error) {
	var c Claim
	err := json.Unmarshal(row.Value, &c)
	return c, errors.Wrap(err, "claim "+row.Key)
}

// List returns the claims that are in a state at the given time, or all claims for the empty state. Rows that
// cannot be decoded are skipped.
func List(ctx context.Context, table lovageyard.Table, state State, now time.Time) ([]Claim, error) {
	changes, err := table.Changes(ctx, []string{lovageyard.TableClaims}, lovageyard.Position{})
	if err != nil {
		return nil, err
	}
	claims := []Claim{}
	for _, row := range changes.Rows {
		c, err := decode(row)
		if row.Deleted || err != nil {
			continue
		}
		c.State = c.StateAt(now)
		if state == "" || c.State == state {
			claims = append(claims, c)
		}
	}
	return claims, nil
}

// Get returns the claim with a row key, and the version of its row.
func Get(ctx context.Context, table lovageyard.Table, rowKey string) (Claim, int64, error) {
	row, err := table.Read(ctx, lovageyard.TableClaims, rowKey)
	if err != nil {
		return Claim{}, 0, err
	}
	c, err := decode(row)
	return c, row.Version, err
}

// Settle returns an unknown claim with the outcome that an operator has determined: the request ran, or it did
// not. The caller has to write it. Settle returns an error if the claim is not unknown.
func Settle(c Claim, ran bool, operator string, now time.Time) (Claim, error) {
	c.State = c.StateAt(now)
	if c.State != Unknown {
		return c, errors.Wrapf(errTransition, "only an unknown claim can be settled, this one is %s", c.State)
	}
	event := eventRelease
	if ran {
		event = eventRecord
		c.Answer = &Answer{Status: settledStatus}
	}
	if err := c.apply(event); err != nil {
		return c, err
	}
	c.SettledBy = strings.TrimSpace(operator)
	c.SettledAt = now
	return c, nil
}

// settledStatus is the status of the recorded answer of a claim that an operator settled as run.
const settledStatus = 200
