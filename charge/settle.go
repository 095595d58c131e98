package charge

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

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
