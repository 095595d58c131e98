package charge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
)

// A platform store that is restored from an older copy has lost the claims made since, and an insert of such a
// key succeeds. An instance therefore uses a claim only if the store's era has settled: by then the instances
// that hold lost claims have written them again.

const (
	// settleTime is the time from the beginning of an era within which instances write lost claims again. It
	// includes the time until they notice the era.
	settleTime = 30 * time.Second
	// eraCheckInterval is the time without a report of the era after which an instance reads it.
	eraCheckInterval = 10 * time.Second
	// eraRowKey is the key of the row that records when the current era was noticed.
	eraRowKey = "claims"
)

// SettlingError reports that the platform's store was restored, and that no new keys can be claimed for the
// remaining time.
type SettlingError struct {
	Remaining time.Duration
}

// Error returns a message with the remaining time.
func (e *SettlingError) Error() string {
	return "the platform's store was restored, and its claims are complete in " + e.Remaining.String()
}

// eraRow is the value of the row that records when an era was noticed.
type eraRow struct {
	Era int64 `json:"era"`
	// NoticedAt is a reading of the platform's monotonic clock, in milliseconds.
	NoticedAt int64 `json:"noticed-at-ms"`
}

// ObserveEra notes an era of the platform's store that another part of the program has learned. It does not
// block.
func (s *Store) ObserveEra(era int64) {
	s.eraMu.Lock()
	defer s.eraMu.Unlock()
	s.observeEra(era)
	s.eraObservedAt = s.timer.Elapsed()
}

// observeEra begins a later era. The caller holds eraMu.
func (s *Store) observeEra(era int64) {
	if era <= s.era {
		return
	}
	s.era = era
	s.settledAt = s.timer.Elapsed() + settleTime
	select {
	case s.restored <- struct{}{}:
	default:
	}
}

// unsettledTime returns the time until claims in the store's current era can be relied on, or 0 if they can be
// now.
func (s *Store) unsettledTime() time.Duration {
	s.eraMu.Lock()
	defer s.eraMu.Unlock()
	s.observeEra(s.table.Era())
	return max(0, s.settledAt-s.timer.Elapsed())
}

// settleIn settles an era after d, if that is earlier than known so far.
func (s *Store) settleIn(era int64, d time.Duration) {
	s.eraMu.Lock()
	defer s.eraMu.Unlock()
	if era == s.era {
		s.settledAt = min(s.settledAt, s.timer.Elapsed()+d)
	}
}

// eraIsReported reports whether the era was observed within the interval of checks.
func (s *Store) eraIsReported() bool {
	s.eraMu.Lock()
	defer s.eraMu.Unlock()
	return s.eraObservedAt > 0 && s.timer.Elapsed()-s.eraObservedAt < eraCheckInterval
}

// eraLoop checks the era regularly, and at once when a later one was observed.
func (s *Store) eraLoop() {
	checks := s.timer.Subscribe(eraCheckInterval)
	defer checks.Close()
	for {
		if !s.checkEraUntilDone() {
			return
		}
		for waiting := true; waiting; {
			select {
			case <-checks.C():
				waiting = s.eraIsReported()
			case <-s.restored:
				waiting = false
			case <-s.stop:
				return
			}
		}
	}
}

// checkEraUntilDone repeats a check that fails. It returns false if the store is closed.
func (s *Store) checkEraUntilDone() bool {
	for {
		err := s.checkEra()
		if err == nil {
			return true
		}
		s.logger.WithError(err).Debug("failed to check the era of the platform's claims")
		if !s.sleep(retryInterval) {
			return false
		}
	}
}

// checkEra reads the store's era and, if it is a later one, writes the lost claims of this instance again.
func (s *Store) checkEra() error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	list, err := s.table.Changes(ctx, []string{lovageyard.TableEras}, lovageyard.Position{})
	if err != nil {
		return err
	}
	s.unsettledTime()
	if list.Era == s.rewrittenEra {
		return nil
	}
	if err := s.rewriteLostClaims(list.Era); err != nil {
		return err
	}
	if s.table.Era() != list.Era {
		return errors.Errorf("era %d has ended", list.Era)
	}
	s.rewrittenEra = list.Era
	return s.shareEra(list)
}

// shareEra learns when the era was noticed from the row that records it, or writes that row.
func (s *Store) shareEra(list lovageyard.Changes) error {
	if list.PlatformTime == 0 {
		return nil
	}
	version := int64(0)
	for _, row := range list.Rows {
		if row.Key != eraRowKey || row.Deleted {
			continue
		}
		version = row.Version
		var known eraRow
		if err := json.Unmarshal(row.Value, &known); err != nil {
			s.logger.WithError(err).WithField("key", row.Key).Warn("a row is passed over")
		}
		if known.Era == list.Era {
			age := list.PlatformTime - time.Duration(known.NoticedAt)*time.Millisecond
			s.settleIn(list.Era, max(0, settleTime-max(0, age)))
			return nil
		}
	}
	return s.writeEraRow(eraRow{Era: list.Era, NoticedAt: list.PlatformTime.Milliseconds()}, version)
}

func (s *Store) writeEraRow(row eraRow, version int64) error {
	value, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "era")
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	_, err = s.table.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: lovageyard.TableEras, Key: eraRowKey, Version: version}},
		Writes:     []lovageyard.Write{{Table: lovageyard.TableEras, Key: eraRowKey, Value: value}},
	})
	var conflict *lovageyard.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// rewriteLostClaims writes the remembered claims that the store lacks. The latest ones come first, as an older
// copy lacks these.
func (s *Store) rewriteLostClaims(era int64) error {
	claims := s.recent.newestFirst(s.timer.Elapsed())
	written := 0
	for _, c := range claims {
		if s.isClosed() {
			return errors.New("the store is closed")
		}
		changed, err := s.rewrite(c)
		if err != nil {
			return err
		}
		if changed {
			written++
		}
	}
	if len(claims) > 0 {
		s.logger.WithFields(logrus.Fields{"era": era, "claims": len(claims), "written": written}).Info("claims compared with the restored platform")
	}
	return nil
}

// rewrite writes a claim if the store has none for its key, or one that it supersedes. It returns true if it
// has written it.
func (s *Store) rewrite(c Claim) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := s.writeIfSuperseding(ctx, c)
	if errors.Is(err, errSuperseded) || errors.Is(err, lovageyard.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// errSuperseded reports that the store's claim for a key is to be kept.
var errSuperseded = errors.New("the store has a later claim")

// writeIfSuperseding writes a claim if it supersedes the store's. It returns errSuperseded if it does not, and
// lovageyard.ErrNotFound if a claim to be released does not exist.
func (s *Store) writeIfSuperseding(ctx context.Context, c Claim) error {
	row, err := s.table.Read(ctx, lovageyard.TableClaims, RowKey(c.Class, c.Key))
	switch {
	case errors.Is(err, lovageyard.ErrNotFound):
		if c.State == Released {
			return err
		}
	case err != nil:
		return err
	default:
		known, err := decode(row)
		if err == nil && !c.supersedes(&known) {
			return errSuperseded
		}
	}
	_, err = s.put(ctx, c, row.Version)
	return err
}
