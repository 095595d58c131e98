package operator

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// readBacks is how often the outcome of a write whose answer was lost is asked for.
const readBacks = 3

// store writes operators' rows under the version that the operator read.
type store struct {
	table lovageyard.Table
}

// version returns the version of a row, or 0 if there is none.
func (s *store) version(ctx context.Context, table, key string) (int64, error) {
	row, err := s.table.Read(ctx, table, key)
	if errors.Is(err, lovageyard.ErrNotFound) {
		return 0, nil
	}
	return row.Version, err
}

// write makes one conditional write. If its answer is lost, it reads the row back; the
// error is a *ConflictError if another write won, and wraps ErrUnknownOutcome if the
// row can't be read.
func (s *store) write(ctx context.Context, w lovageyard.Write, version int64) (int64, error) {
	accepted, err := s.table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: w.Table, Key: w.Key, Version: version}},
		Writes:     []lovageyard.Write{w},
	})
	if err == nil || !errors.Is(err, lovageyard.ErrUnknownOutcome) {
		return accepted, err
	}
	for range readBacks {
		row, readErr := s.table.Read(ctx, w.Table, w.Key)
		if readErr == nil || errors.Is(readErr, lovageyard.ErrNotFound) {
			return outcome(w, version, row, errors.Is(readErr, lovageyard.ErrNotFound))
		}
	}
	return 0, err
}

// outcome judges a lost write by the row as it is now.
func outcome(w lovageyard.Write, version int64, row lovageyard.Row, absent bool) (int64, error) {
	switch {
	case w.Delete && absent, !w.Delete && !absent && bytes.Equal(row.Value, w.Value):
		return row.Version, nil
	case row.Version == version:
		// The write may still be on its way, so that it can't be called not run.
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "the row is unchanged so far; read it again before you repeat the write")
	}
	return 0, &lovageyard.ConflictError{Row: row}
}
