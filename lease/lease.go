package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Record is the value of a lease's row.
type Record struct {
	Holder string `json:"holder"`
	// Address is where others reach the holder.
	Address string `json:"address"`
	// Epoch grows each time the lease changes hands.
	Epoch int64 `json:"epoch"`
	// Renewals grows each time the holder renews.
	Renewals int64 `json:"renewals"`
}

// Lease is one instance's view of a lease. One goroutine uses it at a time.
type Lease struct {
	table   lovageyard.Table
	key     string
	self    Record
	span    time.Duration
	seen    lovageyard.Row
	seenAt  time.Time
	record  Record
	heldFor time.Time
}

// New returns a lease that nobody is known to hold.
func New(table lovageyard.Table, key, holder, address string, span time.Duration) *Lease {
	return &Lease{
		table: table,
		key:   key,
		self:  Record{Holder: holder, Address: address},
		span:  span,
	}
}

// Held says whether this instance holds the lease at a time.
func (l *Lease) Held(now time.Time) bool {
	return l.record.Holder == l.self.Holder && now.Before(l.heldFor)
}

// Record returns the lease's record as last seen.
func (l *Lease) Record() Record {
	return l.record
}

// Condition returns the condition that guards writes under the lease.
func (l *Lease) Condition() lovageyard.Condition {
	return lovageyard.Condition{Table: lovageyard.TableLeases, Key: l.key, Version: l.seen.Version}
}

// Try takes a free or lapsed lease, or renews an own one. A lease has lapsed when its
// row has not changed for its span by this instance's own clock, which is read before
// each write; clocks are never compared.
func (l *Lease) Try(ctx context.Context, clock lovageyard.Timer) error {
	row, err := l.table.Read(ctx, lovageyard.TableLeases, l.key)
	if err != nil && !errors.Is(err, lovageyard.ErrNotFound) {
		return errors.Wrap(err, "lease")
	}
	now := clock.Now()
	l.observe(row, now)
	own := l.record.Holder == l.self.Holder
	if !own && row.Version != 0 && now.Sub(l.seenAt) < l.span {
		return nil
	}
	return l.write(ctx, now, own)
}

func (l *Lease) observe(row lovageyard.Row, now time.Time) {
	if row.Version == l.seen.Version && !l.seenAt.IsZero() {
		return
	}
	l.seen = row
	l.seenAt = now
	l.record = Record{}
	if len(row.Value) > 0 {
		_ = json.Unmarshal(row.Value, &l.record)
	}
}

func (l *Lease) write(ctx context.Context, now time.Time, own bool) error {
	next := l.self
	next.Epoch = l.record.Epoch
	next.Renewals = l.record.Renewals + 1
	if !own {
		next.Epoch++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "lease")
	}
	version, err := l.table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{l.Condition()},
		Writes:     []lovageyard.Write{{Table: lovageyard.TableLeases, Key: l.key, Value: value}},
	})
	var conflict *lovageyard.ConflictError
	if errors.As(err, &conflict) {
		l.heldFor = time.Time{}
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "lease")
	}
	l.seen = lovageyard.Row{Table: lovageyard.TableLeases, Key: l.key, Version: version, Value: value}
	l.seenAt = now
	l.record = next
	l.heldFor = now.Add(l.span * 2 / 3)
	return nil
}
