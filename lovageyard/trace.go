package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// traceBefore is how far before a request's end the changes of belief are shown that may
// explain it; they are rare.
const traceBefore = 10 * time.Second

type traceCommand struct {
	ID    string   `arg:"" help:"Identity of the request, as in its answer."`
	Files []string `arg:"" optional:"" help:"Log files of entry instances; standard input if there are none."`
}

// Run prints one request's story, and what its instance came to believe shortly before.
func (t *traceCommand) Run(s *invocation) error {
	read, err := readLogs(t.Files, os.Stdin)
	if err != nil {
		return err
	}
	story := read.story(t.ID)
	if len(story) == 0 {
		return errors.Errorf("no line tells of request %s (%d lines read, %d not understood)", t.ID, len(read.lines), read.bad)
	}
	return s.print(story, func(w io.Writer) {
		for _, l := range story {
			printLine(w, l)
		}
		if read.bad > 0 {
			fmt.Fprintf(w, "%d lines were not understood\n", read.bad)
		}
	})
}

// story returns the lines of a request, and the changes of belief of its instances before its end.
func (l *logs) story(id string) []logLine {
	ends := make(map[string]time.Time)
	for _, line := range l.lines {
		if line.RequestID == id {
			ends[line.Instance] = line.Time
		}
	}
	var story []logLine
	for _, line := range l.lines {
		end, involved := ends[line.Instance]
		before := end.Sub(line.Time)
		if line.RequestID == id || involved && !line.isRequest() && before >= 0 && before <= traceBefore {
			story = append(story, line)
		}
	}
	return story
}

func printLine(w io.Writer, l logLine) {
	at := l.Time.Format("15:04:05.000")
	if !l.isRequest() {
		fmt.Fprintf(w, "%s %s: %s", at, l.Instance, l.Message)
		if l.Version > 0 {
			fmt.Fprintf(w, ", version %d", l.Version)
		}
		if l.Error != "" {
			fmt.Fprintf(w, ": %s", l.Error)
		}
		fmt.Fprintln(w)
		return
	}
	fmt.Fprintf(w, "%s %s: %s", at, l.Instance, l.Outcome)
	if l.Status > 0 {
		fmt.Fprintf(w, " with %d", l.Status)
	}
	fmt.Fprintf(w, " after %d ms, attempt %d: %s\n", l.ElapsedMs, l.Attempts, l.Reason)
	if l.Route != "" {
		fmt.Fprintf(w, "    route %s, service %s, configuration %d, %d ms left\n", l.Route, l.Service, l.Version, l.LeftMs)
	}
	if l.Server != "" {
		fmt.Fprintf(w, "    server %s of %s: expected in %d ms, of which %d ms wait, load %.1f as told %d ms before; verdict %s\n",
			l.Server, l.Site, l.ExpectedMs, l.WaitMs, l.Load, l.LoadAgeMs, l.Verdict)
	}
}

type incidentCommand struct {
	Files []string  `arg:"" optional:"" help:"Log files of entry instances; standard input if there are none."`
	From  time.Time `help:"First moment to sum up, such as 2026-12-02T18:00:00Z."`
	To    time.Time `help:"Last moment to sum up."`
}

// incident is what happened in a span of time.
type incident struct {
	Requests int `json:"requests"`
	// Outcomes counts requests by service, outcome, status and reason, the most frequent first.
	Outcomes []outcomeCount `json:"outcomes"`
	Changes  []logLine      `json:"changes"`
	BadLines int            `json:"bad-lines"`
}

type outcomeCount struct {
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Run sums up what was refused and why, and what instances came to believe.
func (i *incidentCommand) Run(s *invocation) error {
	read, err := readLogs(i.Files, os.Stdin)
	if err != nil {
		return err
	}
	sum := read.sumUp(i.From, i.To)
	return s.print(sum, func(w io.Writer) {
		fmt.Fprintf(w, "%d requests\n", sum.Requests)
		for _, c := range sum.Outcomes {
			fmt.Fprintf(w, "%8d  %-12s %-10s %3d  %s\n", c.Count, c.Service, c.Outcome, c.Status, c.Reason)
		}
		for _, l := range sum.Changes {
			printLine(w, l)
		}
		if sum.BadLines > 0 {
			fmt.Fprintf(w, "%d lines were not understood\n", sum.BadLines)
		}
	})
}

// addresses are what reasons of failed connections name: one address, or both ends.
var addresses = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->\d+\.\d+\.\d+\.\d+:\d+)?`)

// sumUp sums up the lines from one time to another; a zero time sets no bound.
func (l *logs) sumUp(from, to time.Time) incident {
	sum := incident{BadLines: l.bad}
	counts := make(map[outcomeCount]int)
	for _, line := range l.lines {
		if line.Time.Before(from) || !to.IsZero() && line.Time.After(to) {
			continue
		}
		if !line.isRequest() {
			sum.Changes = append(sum.Changes, line)
			continue
		}
		if line.Outcome != "repeated" {
			sum.Requests++
		}
		reason := addresses.ReplaceAllString(line.Reason, "ADDRESS")
		counts[outcomeCount{Service: line.Service, Outcome: line.Outcome, Status: line.Status, Reason: reason}]++
	}
	for c, n := range counts {
		c.Count = n
		sum.Outcomes = append(sum.Outcomes, c)
	}
	slices.SortFunc(sum.Outcomes, func(a, b outcomeCount) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Service+a.Outcome+a.Reason, b.Service+b.Outcome+b.Reason)
	})
	return sum
}
