package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// event is what a caller, a server or the plan did at a time.
type event struct {
	at   time.Time
	text string
}

// history is what is known of one request.
type history struct {
	unsafe bool
	status int
	runs   int
	// ranAfter means that a run began after the request was answered.
	ranAfter bool
	// faults are the faults that servers injected into the request's attempts.
	faults []string
	events []event
}

// isRefusedAndRan reports whether the request was answered as not run, and has run.
func (h *history) isRefusedAndRan() bool {
	return h.unsafe && notRunStatus(h.status) && h.runs > 0
}

// ranTwice reports whether the request ran more than once, although it must not.
func (h *history) ranTwice() bool {
	return h.unsafe && h.runs > 1
}

// ledger holds the history of all requests of a run. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*history
	counts   map[string]int
	plan     []event
	// violations are broken promises other than those of histories.
	violations []string
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*history), counts: make(map[string]int)}
}

// of returns the history of a request; the caller holds the lock.
func (l *ledger) of(id string) *history {
	h := l.requests[id]
	if h == nil {
		h = &history{}
		l.requests[id] = h
	}
	return h
}

// notef adds an event to a request's history.
func (l *ledger) notef(id, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.of(id)
	h.events = append(h.events, event{time.Now(), fmt.Sprintf(format, values...)})
}

// planf records an event of the plan.
func (l *ledger) planf(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plan = append(l.plan, event{time.Now(), fmt.Sprintf(format, values...)})
}

// broken records a violation.
func (l *ledger) broken(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["violations"]++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, values...))
	}
}

// sent records a request before it is sent.
func (l *ledger) sent(id, instance string, unsafe bool, how string) {
	l.mu.Lock()
	h := l.of(id)
	h.unsafe = unsafe
	l.counts["sent"]++
	if unsafe {
		l.counts["charges"]++
	}
	l.mu.Unlock()
	l.notef(id, "caller: sent to %s %s", instance, how)
}

// answered records the answer that the caller received; a status of 0 means none.
func (l *ledger) answered(id string, status int, detail string) {
	l.mu.Lock()
	l.of(id).status = status
	l.counts[fmt.Sprint("status ", status)]++
	l.mu.Unlock()
	l.notef(id, "caller: status %d %s", status, detail)
}

// faulted records a fault that a server injected into an attempt.
func (l *ledger) faulted(id, server, fault string) {
	l.mu.Lock()
	h := l.of(id)
	if !slices.Contains(h.faults, fault) {
		h.faults = append(h.faults, fault)
	}
	l.counts["fault "+fault]++
	l.mu.Unlock()
	l.notef(id, "%s: %s", server, fault)
}

// ran records that a server began to run a request.
func (l *ledger) ran(id, server string) {
	l.mu.Lock()
	h := l.of(id)
	h.runs++
	h.ranAfter = h.ranAfter || h.status != 0
	l.counts["runs"]++
	l.mu.Unlock()
	l.notef(id, "%s: runs", server)
}

// causes returns how often each combination of faults occurs among the requests that match, and their IDs.
func (l *ledger) causes(match func(*history) bool) (map[string]int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	causes := make(map[string]int)
	var ids []string
	for id, h := range l.requests {
		if !match(h) {
			continue
		}
		ids = append(ids, id)
		slices.Sort(h.faults)
		cause := strings.Join(h.faults, ", ")
		if cause == "" {
			cause = "no fault of a server"
		}
		if h.ranAfter {
			cause += "; ran after the answer"
		}
		causes[cause]++
	}
	slices.Sort(ids)
	return causes, ids
}

// brokenPromises returns lines that count the requests that broke a promise by cause, and the IDs of these requests.
func (l *ledger) brokenPromises() (lines, ids []string) {
	for _, promise := range []struct {
		name  string
		match func(*history) bool
	}{
		{"refused as not run, and ran", (*history).isRefusedAndRan},
		{"ran twice", (*history).ranTwice},
	} {
		causes, found := l.causes(promise.match)
		lines = append(lines, fmt.Sprintf("%s: %d", promise.name, len(found)))
		for _, cause := range slices.Sorted(maps.Keys(causes)) {
			lines = append(lines, fmt.Sprintf("   %d with %s", causes[cause], cause))
		}
		ids = append(ids, found...)
	}
	return lines, ids
}

// writeCases writes a file for each request: its events, those of the plan shortly before and during it, and the lines of
// all instances that name it.
func (l *ledger) writeCases(dir string, ids []string) error {
	if len(ids) == 0 {
		return nil
	}
	lines, err := linesOf(dir, ids)
	if err != nil {
		return err
	}
	folder := filepath.Join(dir, "cases")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if err := os.WriteFile(filepath.Join(folder, id+".txt"), l.describe(id, lines[id]), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// describe returns the text of one case; the caller holds the lock.
func (l *ledger) describe(id string, lines []string) []byte {
	events := slices.Clone(l.requests[id].events)
	first, last := events[0].at.Add(-quietPeriod), events[len(events)-1].at
	for _, e := range l.plan {
		if e.at.After(first) && e.at.Before(last) {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, e := range events {
		fmt.Fprintf(&text, "%s %s\n", e.at.UTC().Format(time.RFC3339Nano), e.text)
	}
	for _, line := range lines {
		text.WriteString(line + "\n")
	}
	return []byte(text.String())
}

// linesOf returns the lines of the logs in a directory that name each of the requests.
func linesOf(dir string, ids []string) (map[string][]string, error) {
	wanted := make(map[string]bool)
	for _, id := range ids {
		wanted[id] = true
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	found := make(map[string][]string)
	for _, path := range logs {
		if err := scanLog(path, wanted, found); err != nil {
			return nil, err
		}
	}
	return found, nil
}

// scanLog adds the lines of one log that name a wanted request.
func scanLog(path string, wanted map[string]bool, found map[string][]string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line struct {
			ID string `json:"request-id"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && wanted[line.ID] {
			found[line.ID] = append(found[line.ID], filepath.Base(path)+" "+scanner.Text())
		}
	}
	return scanner.Err()
}
