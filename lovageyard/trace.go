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

// traceWindow is the time before a request's end from which a trace includes state changes of the
// instance, as possible causes. State changes are rare, so a long window adds few lines.
const traceWindow = 10 * time.Second

type traceCommand struct {
	ID    string   `arg:"" help:"Identity of the request, as in its answer."`
	Files []string `arg:"" optional:"" help:"Log files of entry instances; standard input if there are none."`
}

// Run prints the lines of one request, and the state changes of its instances shortly before its end.
func (t *traceCommand) Run(s *invocation) error {
	read, err := readLogs(t.Files, os.Stdin)
	if err != nil {
		return err
	}
	lines := read.requestTrace(t.ID)
	if len(lines) == 0 {
		return errors.Errorf("request %s is not in the logs (%d lines read, %d malformed)", t.ID, len(read.lines), read.malformed)
	}
	return s.print(lines, func(w io.Writer) {
		for _, l := range lines {
			printLine(w, l)
		}
		if read.malformed > 0 {
			fmt.Fprintf(w, "%d malformed lines\n", read.malformed)
		}
	})
}

// requestTrace returns the lines of a request, and the state changes of its instances in the traceWindow
// before its end.
func (l *logs) requestTrace(id string) []logLine {
	endTimes := make(map[string]time.Time)
	for _, line := range l.lines {
		if line.RequestID == id {
			endTimes[line.Instance] = line.Time
		}
	}
	var trace []logLine
	for _, line := range l.lines {
		end, involved := endTimes[line.Instance]
		before := end.Sub(line.Time)
		if line.RequestID == id || involved && !line.isRequest() && before >= 0 && before <= traceWindow {
			trace = append(trace, line)
		}
	}
	return trace
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
		fmt.Fprintf(w, "    server %s of %s: expected in %d ms, of which %d ms wait, load %.1f as reported %d ms earlier; verdict %s\n",
			l.Server, l.Site, l.ExpectedMs, l.WaitMs, l.Load, l.LoadAgeMs, l.Verdict)
	}
}

type incidentCommand struct {
	Files []string  `arg:"" optional:"" help:"Log files of entry instances; standard input if there are none."`
	From  time.Time `help:"First moment to sum up, such as 2026-12-02T18:00:00Z."`
	To    time.Time `help:"Last moment to sum up."`
}

// incident summarizes the logs of a period.
type incident struct {
	Requests int `json:"requests"`
	// Outcomes counts requests by service, outcome, status and reason, in descending order of the count.
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

// Run prints the counts of request outcomes with their reasons, and all state changes of instances.
func (i *incidentCommand) Run(s *invocation) error {
	read, err := readLogs(i.Files, os.Stdin)
	if err != nil {
		return err
	}
	summary := read.summarize(i.From, i.To)
	return s.print(summary, func(w io.Writer) {
		fmt.Fprintf(w, "%d requests\n", summary.Requests)
		for _, c := range summary.Outcomes {
			fmt.Fprintf(w, "%8d  %-12s %-10s %3d  %s\n", c.Count, c.Service, c.Outcome, c.Status, c.Reason)
		}
		for _, l := range summary.Changes {
			printLine(w, l)
		}
		if summary.BadLines > 0 {
			fmt.Fprintf(w, "%d malformed lines\n", summary.BadLines)
		}
	})
}

// addressPattern matches the addresses in the reasons of failed connections: one address, or both ends.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->\d+\.\d+\.\d+\.\d+:\d+)?`)

// summarize summarizes the lines between two times; a zero time sets no bound.
func (l *logs) summarize(from, to time.Time) incident {
	summary := incident{BadLines: l.malformed}
	counts := make(map[outcomeCount]int)
	for _, line := range l.lines {
		if line.Time.Before(from) || !to.IsZero() && line.Time.After(to) {
			continue
		}
		if !line.isRequest() {
			summary.Changes = append(summary.Changes, line)
			continue
		}
		if line.Outcome != "repeated" {
			summary.Requests++
		}
		reason := addressPattern.ReplaceAllString(line.Reason, "ADDRESS")
		counts[outcomeCount{Service: line.Service, Outcome: line.Outcome, Status: line.Status, Reason: reason}]++
	}
	for c, n := range counts {
		c.Count = n
		summary.Outcomes = append(summary.Outcomes, c)
	}
	slices.SortFunc(summary.Outcomes, func(a, b outcomeCount) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Service+a.Outcome+a.Reason, b.Service+b.Outcome+b.Reason)
	})
	return summary
}
