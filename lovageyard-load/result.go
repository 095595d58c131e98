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

// result is the result of a run for one class. Latencies are of complete answers only.
type result struct {
	Class    string       `json:"class"`
	Sent     int64        `json:"sent"`
	Whole    int64        `json:"whole"`
	Causes   []count      `json:"causes"`
	Statuses []count      `json:"statuses"`
	Verdicts []count      `json:"verdicts"`
	P50Ms    float64      `json:"p50-ms"`
	P90Ms    float64      `json:"p90-ms"`
	P99Ms    float64      `json:"p99-ms"`
	MaxMs    float64      `json:"max-ms"`
	Seconds  []siteSecond `json:"seconds"`
}

// count is the number of requests with one value of a property, such as a status.
type count struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// siteSecond counts the complete answers to requests due in one second by the site that served them.
type siteSecond struct {
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
		Whole:    t.categories[categoryComplete],
		Causes:   counts(t.categories, func(c category) string { return string(c) }),
		Statuses: counts(t.statuses, strconv.Itoa),
		Verdicts: counts(t.verdicts, func(v lovageyard.Verdict) string { return string(v) }),
		P50Ms:    ms(t.latency.ValueAtQuantile(50)),
		P90Ms:    ms(t.latency.ValueAtQuantile(90)),
		P99Ms:    ms(t.latency.ValueAtQuantile(99)),
		MaxMs:    ms(t.latency.Max()),
		Seconds:  countBySecond(t.completions),
	}
}

// counts converts a map to a list sorted by name. The list is never nil, so that it is encoded as [].
func counts[K comparable](m map[K]int64, name func(K) string) []count {
	out := []count{}
	for k, n := range m {
		out = append(out, count{Name: name(k), Count: n})
	}
	slices.SortFunc(out, func(a, b count) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func countBySecond(completions []completion) []siteSecond {
	seconds := make(map[int64]map[string]int64)
	for _, c := range completions {
		s := c.dueAt.Unix()
		if seconds[s] == nil {
			seconds[s] = make(map[string]int64)
		}
		seconds[s][c.site]++
	}
	out := []siteSecond{}
	for s, sites := range seconds {
		out = append(out, siteSecond{UnixSecond: s, Sites: counts(sites, strings.Clone)})
	}
	slices.SortFunc(out, func(a, b siteSecond) int { return int(a.UnixSecond - b.UnixSecond) })
	return out
}

// openOutput creates a results file. The name "-" is standard output; for "" it returns nil, and nothing is
// written.
func openOutput(name string) (io.WriteCloser, error) {
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
	f, err := openOutput(name)
	if f == nil || err != nil {
		return err
	}
	defer f.Close()
	return errors.Wrap(json.NewEncoder(f).Encode(results), "results")
}

func writeCSV(name string, results []result) error {
	f, err := openOutput(name)
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
