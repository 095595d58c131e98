package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// result is one class's account of a run.
type result struct {
	Class    string          `json:"class"`
	Sent     int64           `json:"sent"`
	Whole    int64           `json:"whole"`
	Causes   []count         `json:"causes"`
	Statuses []count         `json:"statuses"`
	Verdicts []count         `json:"verdicts"`
	P50Ms    float64         `json:"p50-ms"`
	P90Ms    float64         `json:"p90-ms"`
	P99Ms    float64         `json:"p99-ms"`
	MaxMs    float64         `json:"max-ms"`
	Seconds  []secondOfSites `json:"seconds"`
}

// count is a number of requests that have something in common.
type count struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// secondOfSites counts the answered requests of one second by the site that served them.
type secondOfSites struct {
	UnixSecond int64   `json:"unix-second"`
	Sites      []count `json:"sites"`
}

func (l *load) results() []result {
	var names []string
	for name := range l.tallies {
		names = append(names, name)
	}
	slices.Sort(names)
	var results []result
	for _, name := range names {
		results = append(results, l.tallies[name].result(name))
	}
	return results
}

func (t *tally) result(name string) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return result{
		Class:    name,
		Sent:     t.sent,
		Whole:    t.causes[causeWhole],
		Causes:   counts(t.causes, func(c cause) string { return string(c) }),
		Statuses: counts(t.statuses, strconv.Itoa),
		Verdicts: counts(t.verdicts, func(v lovageyard.Verdict) string { return string(v) }),
		P50Ms:    ms(t.latency.ValueAtQuantile(50)),
		P90Ms:    ms(t.latency.ValueAtQuantile(90)),
		P99Ms:    ms(t.latency.ValueAtQuantile(99)),
		MaxMs:    ms(t.latency.Max()),
		Seconds:  bySecond(t.arrivals),
	}
}

func counts[K comparable](m map[K]int64, name func(K) string) []count {
	out := []count{}
	for k, n := range m {
		out = append(out, count{Name: name(k), Count: n})
	}
	slices.SortFunc(out, func(a, b count) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func bySecond(arrivals []arrival) []secondOfSites {
	seconds := make(map[int64]map[string]int64)
	for _, a := range arrivals {
		s := a.at.Unix()
		if seconds[s] == nil {
			seconds[s] = make(map[string]int64)
		}
		seconds[s][a.site]++
	}
	out := []secondOfSites{}
	for s, sites := range seconds {
		out = append(out, secondOfSites{UnixSecond: s, Sites: counts(sites, strings.Clone)})
	}
	slices.SortFunc(out, func(a, b secondOfSites) int { return int(a.UnixSecond - b.UnixSecond) })
	return out
}

// create opens a results file; the name - means standard output, and "" nothing.
func create(name string) (io.WriteCloser, error) {
	switch name {
	case "":
		return nil, nil
	case "-":
		return nopCloser{os.Stdout}, nil
	}
	f, err := os.Create(name)
	return f, errors.Wrap(err, "results")
}

type nopCloser struct {
	io.Writer
}

func (nopCloser) Close() error {
	return nil
}

func writeJSON(name string, results []result) error {
	f, err := create(name)
	if f == nil || err != nil {
		return err
	}
	defer f.Close()
	return errors.Wrap(json.NewEncoder(f).Encode(results), "results")
}

func writeCSV(name string, results []result) error {
	f, err := create(name)
	if f == nil || err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	rows := [][]string{{"class", "sent", "whole", "p50-ms", "p90-ms", "p99-ms", "max-ms"}}
	for _, r := range results {
		rows = append(rows, []string{
			r.Class,
			strconv.FormatInt(r.Sent, 10),
			strconv.FormatInt(r.Whole, 10),
			fmt.Sprint(r.P50Ms),
			fmt.Sprint(r.P90Ms),
			fmt.Sprint(r.P99Ms),
			fmt.Sprint(r.MaxMs),
		})
	}
	return errors.Wrap(w.WriteAll(rows), "results")
}

func writeText(w io.Writer, results []result) {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "CLASS\tSENT\tWHOLE\tP50 MS\tP99 MS\tCAUSES\tVERDICTS")
	for _, r := range results {
		fmt.Fprintf(columns, "%s\t%d\t%d\t%.1f\t%.1f\t%s\t%s\n", r.Class, r.Sent, r.Whole, r.P50Ms, r.P99Ms,
			countText(r.Causes), countText(r.Verdicts))
	}
	columns.Flush()
}

func countText(counts []count) string {
	var parts []string
	for _, c := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", c.Name, c.Count))
	}
	return strings.Join(parts, " ")
}
