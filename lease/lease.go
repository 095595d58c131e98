package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Record is the value of a lease's row, encoded in JSON.
type Record struct {
	Holder string `json:"holder"`
	// Address is the holder's peer address.
	Address string `json:"address"`
	// Epoch increases each time another holder acquires the lease.
	Epoch int64 `json:"epoch"`
	// Renewals increases with each acquisition and each renewal.
	Renewals int64 `json:"renewals"`
}

// Lease is one instance's view of a lease. It is not safe for concurrent use.
type Lease struct {
	table     lovageyard.Table
	key       string
	self      Record
	duration  time.Duration
	row       lovageyard.Row
	changedAt time.Time
	record    Record
	// heldUntil is two thirds of the duration after this instance's last write.
	heldUntil time.Time
}

// New returns a lease whose holder is not known yet. The key names its row, holder and address
// identify this instance, and the lease expires if it is not renewed for duration.
func New(table lovageyard.Table, key, holder, address string, duration time.Duration) *Lease {
	return &Lease{
		table:    table,
		key:      key,
		self:     Record{Holder: holder, Address: address},
		duration: duration,
	}
}

// Held reports whether this instance holds the lease at the given time. After a renewal, it does so
// for two thirds of the duration, so that it stops before another instance may acquire the lease.
func (l *Lease) Held(now time.Time) bool {
	return l.record.Holder == l.self.Holder && now.Before(l.heldUntil)
}

// Record returns the lease's record as last read or written.
func (l *Lease) Record() Record {
	return l.record
}

// Condition returns the condition that every write under the lease must include.
func (l *Lease) Condition() lovageyard.Condition {
	return lovageyard.Condition{Table: lovageyard.TableLeases, Key: l.key, Version: l.row.Version}
}

// Try acquires a free or expired lease, or renews the lease if this instance holds it. A lease
// has expired when its row has not changed for the lease's duration by this instance's clock,
// which is read before each write. Losing the lease to another instance is not an error.
func (l *Lease) Try(ctx context.Context, clock lovageyard.Timer) error {
	row, err := l.table.Read(ctx, lovageyard.TableLeases, l.key)
	if err != nil && !errors.Is(err, lovageyard.ErrNotFound) {
		return errors.Wrap(err, "lease")
	}
	now := clock.Now()
	l.observe(row, now)
	renewing := l.record.Holder == l.self.Holder
	if !renewing && row.Version != 0 && now.Sub(l.changedAt) < l.duration {
		return nil
	}
	return l.write(ctx, now, renewing)
}

func (l *Lease) observe(row lovageyard.Row, now time.Time) {
	if row.Version == l.row.Version && !l.changedAt.IsZero() {
		return
	}
	l.row = row
	l.changedAt = now
	l.record = Record{}
	if len(row.Value) > 0 {
		_ = json.Unmarshal(row.Value, &l.record)
	}
}

func (l *Lease) write(ctx context.Context, now time.Time, renewing bool) error {
	next := l.self
	next.Epoch = l.record.Epoch
	next.Renewals = l.record.Renewals + 1
	if !renewing {
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
		l.heldUntil = time.Time{}
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "lease")
	}
	l.row = lovageyard.Row{Table: lovageyard.TableLeases, Key: l.key, Version: version, Value: value}
	l.changedAt = now
	l.record = next
	l.heldUntil = now.Add(l.duration * 2 / 3)
	return nil
}
