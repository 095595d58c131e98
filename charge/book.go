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

// Bounds of the book's work at the platform.
const (
	readBacks    = 3
	recordWithin = 500 * time.Millisecond
	retryEvery   = time.Second
	retryFor     = 10 * time.Minute
	backlogSize  = 4096
)

// reasonUnclaimed tells a caller what its verdict does and does not say.
const reasonUnclaimed = "the key could not be claimed, so that this request was not sent; of earlier requests with the key nothing is known now"

// Errors of Claim, besides a *lovageyard.RequestError.
var (
	// ErrKeyReused reports a key that another request has used.
	ErrKeyReused = errors.New("the key was used for another request")
)

// HeldClaim is a claim that this instance holds: only its request may be sent.
type HeldClaim struct {
	Claim
	version int64
}

// Store keeps the claims of one entry instance in the platform's table.
type Store struct {
	table   lovageyard.Table
	timer   lovageyard.Timer
	holder  string
	numbers atomic.Int64
	backlog chan write
	stop    chan struct{}
	worker  sync.WaitGroup
}

// write is a change of a claim that could not be made at once.
type write struct {
	held  *HeldClaim
	event string
	since time.Time
}

// NewStore returns a book whose claims carry a holder's name. Close ends it.
func NewStore(table lovageyard.Table, timer lovageyard.Timer, holder string) *Store {
	b := &Store{
		table:   table,
		timer:   timer,
		holder:  holder,
		backlog: make(chan write, backlogSize),
		stop:    make(chan struct{}),
	}
	b.worker.Go(b.work)
	return b
}

// Close ends the retries and waits for them.
func (b *Store) Close() {
	close(b.stop)
	b.worker.Wait()
}

// Request is what a caller wants to run at most once.
type Request struct {
	Class      string
	Key        string
	Hash       string
	SendBefore time.Time
}

// Claim claims a key. It returns the held claim; or the answer of an earlier run; or an
// error: ErrOtherRequest, or a *lovageyard.RequestError with the verdict on the key.
func (b *Store) Claim(ctx context.Context, r Request) (*HeldClaim, *Answer, error) {
	next := Claim{
		Key:        r.Key,
		Class:      r.Class,
		State:      Claimed,
		Hash:       r.Hash,
		Attempt:    1,
		Holder:     fmt.Sprintf("%s/%d", b.holder, b.numbers.Add(1)),
		ClaimedAt:  b.timer.Now(),
		SendBefore: r.SendBefore,
	}
	held, taken, err := b.insert(ctx, next, 0)
	if err != nil || held != nil {
		return held, nil, err
	}
	return b.judge(ctx, next, taken)
}

// insert writes a claim under a row's version. It returns the row if another has it.
func (b *Store) insert(ctx context.Context, c Claim, version int64) (*HeldClaim, lovageyard.Row, error) {
	none := lovageyard.Row{}
	accepted, err := b.put(ctx, c, version)
	var conflict *lovageyard.ConflictError
	switch {
	case err == nil:
		return &HeldClaim{Claim: c, version: accepted}, none, nil
	case errors.As(err, &conflict):
		return nil, conflict.Row, nil
	case !errors.Is(err, lovageyard.ErrUnknownOutcome):
		return nil, none, lovageyard.NotRun(reasonUnclaimed, err)
	}
	return b.readBack(ctx, c, err)
}

// readBack finds out what became of an insert whose answer was lost. If it can't, the
// request is refused, and the row, should it exist, is released later.
func (b *Store) readBack(ctx context.Context, c Claim, lost error) (*HeldClaim, lovageyard.Row, error) {
	none := lovageyard.Row{}
	for range readBacks {
		row, err := b.table.Read(ctx, lovageyard.TableClaims, RowKey(c.Class, c.Key))
		if errors.Is(err, lovageyard.ErrNotFound) {
			break
		}
		if err != nil {
			continue
		}
		found, err := decode(row)
		if err != nil {
			return nil, none, lovageyard.NotRun("the claim could not be read", err)
		}
		if found.Holder == c.Holder {
			return &HeldClaim{Claim: c, version: row.Version}, none, nil
		}
		return nil, row, nil
	}
	b.later(write{held: &HeldClaim{Claim: c}, event: eventRelease, since: b.timer.Now()})
	return nil, none, lovageyard.NotRun(reasonUnclaimed, lost)
}

// judge answers a request whose key another request has claimed.
func (b *Store) judge(ctx context.Context, next Claim, row lovageyard.Row) (*HeldClaim, *Answer, error) {
	known, err := decode(row)
	if err != nil {
		return nil, nil, lovageyard.NotRun("the claim could not be read", err)
	}
	if known.Hash != next.Hash {
		return nil, nil, ErrKeyReused
	}
	switch known.StateAt(b.timer.Now()) {
	case Recorded:
		return nil, known.Answer, nil
	case Released:
		return b.claimAgain(ctx, next, known, row.Version)
	}
	return nil, nil, lovageyard.MayHaveRun("a request with this key is "+string(known.StateAt(b.timer.Now())), nil)
}

func (b *Store) claimAgain(ctx context.Context, next, known Claim, version int64) (*HeldClaim, *Answer, error) {
	next.Attempt = known.Attempt + 1
	held, _, err := b.insert(ctx, next, version)
	if err == nil && held == nil {
		err = lovageyard.MayHaveRun("another request with this key was faster", nil)
	}
	return held, nil, err
}

// Record keeps the answer of a request that ran.
func (b *Store) Record(h *HeldClaim, a Answer) {
	h.Answer = &a
	b.change(h, eventRecord)
}

// Release frees a key whose request did not run.
func (b *Store) Release(h *HeldClaim) {
	b.change(h, eventRelease)
}

// MarkUnknown notes that a request may have run.
func (b *Store) MarkUnknown(h *HeldClaim) {
	b.change(h, eventLose)
}

// change makes a change now, or later if the platform does not take it.
func (b *Store) change(h *HeldClaim, event string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWithin)
	defer cancel()
	w := write{held: h, event: event, since: b.timer.Now()}
	if !b.try(ctx, w) {
		b.later(w)
	}
}

// try makes a change and says whether it is over: made, or overtaken by another.
func (b *Store) try(ctx context.Context, w write) bool {
	c := w.held.Claim
	if c.fire(w.event) != nil {
		return true
	}
	version := w.held.version
	if version == 0 {
		row, err := b.table.Read(ctx, lovageyard.TableClaims, RowKey(c.Class, c.Key))
		if err != nil {
			return false
		}
		found, err := decode(row)
		if err != nil || found.Holder != c.Holder {
			return true
		}
		version = row.Version
	}
	_, err := b.put(ctx, c, version)
	var conflict *lovageyard.ConflictError
	return err == nil || errors.As(err, &conflict)
}

func (b *Store) put(ctx context.Context, c Claim, version int64) (int64, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(err, "claim")
	}
	key := RowKey(c.Class, c.Key)
	return b.table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: lovageyard.TableClaims, Key: key, Version: version}},
		Writes:     []lovageyard.Write{{Table: lovageyard.TableClaims, Key: key, Value: value}},
	})
}

// later leaves a change to the worker; with a full backlog it is dropped, and the
// claim becomes unknown by its age.
func (b *Store) later(w write) {
	select {
	case b.backlog <- w:
	default:
	}
}

// work retries the changes of the backlog.
func (b *Store) work() {
	for {
		select {
		case w := <-b.backlog:
			if !b.retry(w) {
				return
			}
		case <-b.stop:
			return
		}
	}
}

// retry repeats a change until it is over or too old; it returns false once the book ends.
func (b *Store) retry(w write) bool {
	for b.timer.Now().Sub(w.since) < retryFor {
		ctx, cancel := context.WithTimeout(context.Background(), recordWithin)
		over := b.try(ctx, w)
		cancel()
		if over {
			return true
		}
		pause := b.timer.After(retryEvery)
		select {
		case <-pause.C():
			pause.Close()
		case <-b.stop:
			pause.Close()
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

// List returns the claims whose state at the present time is the given one, or all for "".
func List(ctx context.Context, table lovageyard.Table, state State, now time.Time) ([]Claim, error) {
	changes, err := table.Changes(ctx, []string{lovageyard.TableClaims}, 0)
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

// Get returns the claim of a row's key.
func Get(ctx context.Context, table lovageyard.Table, rowKey string) (Claim, int64, error) {
	row, err := table.Read(ctx, lovageyard.TableClaims, rowKey)
	if err != nil {
		return Claim{}, 0, err
	}
	c, err := decode(row)
	return c, row.Version, err
}

// Settle returns an unknown claim as an operator settles it: as having run, or not.
func Settle(c Claim, ran bool, operator string, now time.Time) (Claim, error) {
	c.State = c.StateAt(now)
	if c.State != Unknown {
		return c, errors.Wrapf(errState, "only an unknown claim can be settled, this one is %s", c.State)
	}
	event := eventRelease
	if ran {
		event = eventRecord
		c.Answer = &Answer{Status: statusSettled}
	}
	if err := c.fire(event); err != nil {
		return c, err
	}
	c.SettledBy = strings.TrimSpace(operator)
	c.SettledAt = now
	return c, nil
}

// statusSettled is the status of the answer to a key that an operator settled as run.
const statusSettled = 200
