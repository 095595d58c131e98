package operator

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// maxReadBacks is the number of attempts to read a row back after the response to its write was
// lost.
const maxReadBacks = 3

// store writes operators' rows, conditional on the version that the operator read.
type store struct {
	table lovageyard.Table
}

// version returns the version of a row, or 0 if it does not exist.
func (s *store) version(ctx context.Context, table, key string) (int64, error) {
	row, err := s.table.Read(ctx, table, key)
	if errors.Is(err, lovageyard.ErrNotFound) {
		return 0, nil
	}
	return row.Version, err
}

// write makes one conditional write and returns its version. If the response is lost, it reads
// the row back. The error is a *lovageyard.ConflictError if another write won, and wraps
// lovageyard.ErrUnknownOutcome if the outcome cannot be determined.
func (s *store) write(ctx context.Context, w lovageyard.Write, version int64) (int64, error) {
	accepted, err := s.table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: w.Table, Key: w.Key, Version: version}},
		Writes:     []lovageyard.Write{w},
	})
	if err == nil || !errors.Is(err, lovageyard.ErrUnknownOutcome) {
		return accepted, err
	}
	for range maxReadBacks {
		row, readErr := s.table.Read(ctx, w.Table, w.Key)
		if readErr == nil || errors.Is(readErr, lovageyard.ErrNotFound) {
			return resolveLostWrite(w, version, row, errors.Is(readErr, lovageyard.ErrNotFound))
		}
	}
	return 0, err
}

// resolveLostWrite determines the outcome of a write whose response was lost. It compares the row that
// was read back, which may be absent, with the write.
func resolveLostWrite(w lovageyard.Write, version int64, row lovageyard.Row, absent bool) (int64, error) {
	switch {
	case w.Delete && absent, !w.Delete && !absent && bytes.Equal(row.Value, w.Value):
		return row.Version, nil
	case row.Version == version:
		// The write may still be in transit, so it cannot be reported as not run.
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "the row is unchanged so far; read it again before you repeat the write")
	}
	return 0, &lovageyard.ConflictError{Row: row}
}
