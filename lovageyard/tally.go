package main

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of a tally, which bound its memory however large the logs are.
const (
	// maxBins is the number of time bins at which the width of bins is doubled.
	maxBins = 600
	// maxNames is the maximum number of names of one dimension that are counted separately.
	maxNames = 200
	// maxChanges is the maximum number of state changes that are kept.
	maxChanges = 400
	// otherName collects the requests of the names beyond maxNames.
	otherName   = "(others)"
	unknownName = "(unknown)"
)

// Dimensions that requests are grouped by.
const (
	byAll     = "all"
	byClass   = "class"
	byRegion  = "region"
	bySite    = "site"
	byAccount = "client account"
)

// Outcomes of requests. outcomeRefused is a prefix, which the cause of the refusal follows.
const (
	outcomeInTime     = "in time"
	outcomeLate       = "late"
	outcomeRefused    = "refused: "
	outcomeFailed     = "failed"
	outcomeClientGone = "client gone"
	outcomeRejected   = "rejected"
)

// countKey identifies one series of counts by bin.
type countKey struct {
	dimension, name, outcome string
}

// stateChange is a state change that one or several instances logged in the same bin.
type stateChange struct {
	Text      string
	First     time.Time
	Instances int
}

// tally counts requests by outcome, time, class, region, site and client account.
type tally struct {
	// width is the duration of a bin; bins are numbered from the Unix epoch, 1970.
	width  time.Duration
	counts map[countKey]map[int64]int
	// names holds the names of each dimension that are counted separately.
	names map[string]map[string]bool
	// regions maps an instance to its region, which only the line of its start names.
	regions map[string]string
	// changes holds the state changes of each bin by text.
	changes map[int64]map[string]*stateChange
	// requests is the number of requests in all bins.
	requests int
	// dropped counts the state changes that were not kept because of maxChanges.
	dropped     int
	first, last time.Time
}

func newTally(width time.Duration) *tally {
	return &tally{
		width:   width,
		counts:  make(map[countKey]map[int64]int),
		names:   make(map[string]map[string]bool),
		regions: make(map[string]string),
		changes: make(map[int64]map[string]*stateChange),
	}
}

// add counts one line: a request by its outcome, any other as a state change. Lines without a time are ignored.
func (t *tally) add(l logLine) {
	if l.Time.IsZero() {
		return
	}
	if l.Region != "" && l.Instance != "" {
		t.regions[l.Instance] = l.Region
	}
	t.coverTime(l.Time)
	if !l.isRequest() {
		t.addChange(l)
		return
	}
	outcome := outcomeOf(l)
	if outcome == "" {
		return
	}
	t.requests++
	t.count(byAll, byAll, outcome, l.Time)
	t.count(byClass, l.Route, outcome, l.Time)
	t.count(byRegion, t.regions[l.Instance], outcome, l.Time)
	if l.Site != "" {
		t.count(bySite, l.Site, outcome, l.Time)
	}
	if l.Account != "" {
		t.count(byAccount, l.Account, outcome, l.Time)
	}
}

// outcomeOf returns the outcome of a request, or "" for a line about an attempt that was repeated.
func outcomeOf(l logLine) string {
	switch l.Outcome {
	case "answered":
		switch {
		case l.Status >= 500:
			return outcomeFailed
		case l.GoalMs > 0 && l.ElapsedMs > l.GoalMs:
			return outcomeLate
		}
		return outcomeInTime
	case "refused":
		if l.Cause == "" {
			return outcomeRefused + addressPattern.ReplaceAllString(l.Reason, "ADDRESS")
		}
		return outcomeRefused + l.Cause
	case outcomeFailed, outcomeClientGone, outcomeRejected:
		return l.Outcome
	}
	return ""
}

// coverTime extends the time range to include a time, and widens the bins while the range is maxBins or more
// bins long.
func (t *tally) coverTime(at time.Time) {
	if t.first.IsZero() || at.Before(t.first) {
		t.first = at
	}
	if at.After(t.last) {
		t.last = at
	}
	for t.last.Sub(t.first)/t.width >= maxBins {
		t.widenBins()
	}
}

// widenBins doubles the width of bins and merges the counts and state changes of each pair of bins.
func (t *tally) widenBins() {
	t.width *= 2
	for _, bins := range t.counts {
		for _, bin := range slices.Sorted(maps.Keys(bins)) {
			n := bins[bin]
			delete(bins, bin)
			bins[widenedBin(bin)] += n
		}
	}
	for _, bin := range slices.Sorted(maps.Keys(t.changes)) {
		old := t.changes[bin]
		delete(t.changes, bin)
		for text, change := range old {
			t.mergeChange(widenedBin(bin), text, *change)
		}
	}
}

// widenedBin returns the bin of twice the width that contains a bin.
func widenedBin(bin int64) int64 {
	return bin >> 1
}

func (t *tally) binOf(at time.Time) int64 {
	return at.UnixNano() / int64(t.width)
}

func (t *tally) count(dimension, name, outcome string, at time.Time) {
	if name == "" {
		name = unknownName
	}
	known := t.names[dimension]
	if known == nil {
		known = make(map[string]bool)
		t.names[dimension] = known
	}
	if !known[name] && len(known) >= maxNames {
		name = otherName
	}
	known[name] = true
	key := countKey{dimension: dimension, name: name, outcome: outcome}
	bins := t.counts[key]
	if bins == nil {
		bins = make(map[int64]int)
		t.counts[key] = bins
	}
	bins[t.binOf(at)]++
}

// addChange records a state change; changes of several instances with the same text in one bin are merged.
func (t *tally) addChange(l logLine) {
	text := l.Message
	if l.Error != "" {
		text += ": " + addressPattern.ReplaceAllString(l.Error, "ADDRESS")
	}
	t.mergeChange(t.binOf(l.Time), text, stateChange{Text: text, First: l.Time, Instances: 1})
}

func (t *tally) mergeChange(bin int64, text string, change stateChange) {
	changes := t.changes[bin]
	if changes == nil {
		changes = make(map[string]*stateChange)
		t.changes[bin] = changes
	}
	if known := changes[text]; known != nil {
		known.Instances += change.Instances
		if change.First.Before(known.First) {
			known.First = change.First
		}
		return
	}
	if t.changeCount() >= maxChanges {
		t.dropped += change.Instances
		return
	}
	changes[text] = &change
}

func (t *tally) changeCount() int {
	n := 0
	for _, changes := range t.changes {
		n += len(changes)
	}
	return n
}

// sortedChanges returns the state changes ordered by time.
func (t *tally) sortedChanges() []stateChange {
	var sorted []stateChange
	for _, changes := range t.changes {
		for _, change := range changes {
			sorted = append(sorted, *change)
		}
	}
	slices.SortFunc(sorted, func(a, b stateChange) int {
		if c := a.First.Compare(b.First); c != 0 {
			return c
		}
		return strings.Compare(a.Text, b.Text)
	})
	return sorted
}

// total holds the number of a name's requests by outcome.
type total struct {
	Name                                   string
	Requests, InTime, Late, Refused, Other int
}

// totals returns the totals of a dimension's names, ordered by descending number of requests that were
// not answered in time.
func (t *tally) totals(dimension string) []total {
	sums := make(map[string]*total)
	for key, bins := range t.counts {
		if key.dimension != dimension {
			continue
		}
		sum := sums[key.name]
		if sum == nil {
			sum = &total{Name: key.name}
			sums[key.name] = sum
		}
		for _, n := range bins {
			sum.add(key.outcome, n)
		}
	}
	var sorted []total
	for _, sum := range sums {
		sorted = append(sorted, *sum)
	}
	slices.SortFunc(sorted, func(a, b total) int {
		if c := (b.Requests - b.InTime) - (a.Requests - a.InTime); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return sorted
}

func (s *total) add(outcome string, n int) {
	s.Requests += n
	switch {
	case outcome == outcomeInTime:
		s.InTime += n
	case outcome == outcomeLate:
		s.Late += n
	case strings.HasPrefix(outcome, outcomeRefused):
		s.Refused += n
	default:
		s.Other += n
	}
}
