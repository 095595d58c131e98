package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// classResult is the load generator's result for one class.
type classResult struct {
	Class    string   `json:"class"`
	Sent     int64    `json:"sent"`
	Whole    int64    `json:"whole"`
	Causes   []count  `json:"causes"`
	Verdicts []count  `json:"verdicts"`
	P50Ms    float64  `json:"p50-ms"`
	P99Ms    float64  `json:"p99-ms"`
	Seconds  []second `json:"seconds"`
}

type count struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

type second struct {
	UnixSecond int64   `json:"unix-second"`
	Sites      []count `json:"sites"`
}

// printSummary prints the results of the run, and fails if a request was cut: if it got neither a complete
// answer nor a refusal.
func (d *demo) printSummary(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "results")
	}
	var results []classResult
	if err := json.Unmarshal(data, &results); err != nil {
		return errors.Wrap(err, "results")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tSENT\tWHOLE\tREFUSED BY VERDICT\tP50 MS\tP99 MS\tMOST MOVED\tCAP\tDRAINED IN\tCUT")
	cut := int64(0)
	for _, r := range results {
		classCut := countOf(r.Causes, "cut") + countOf(r.Causes, "broken") + countOf(r.Causes, "no-connection") + countOf(r.Causes, "no-look-up")
		cut += classCut
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%.1f\t%.1f\t%.1f%%\t%.0f%%\t%s\t%d\n", r.Class, r.Sent, r.Whole, formatCounts(r.Verdicts),
			r.P50Ms, r.P99Ms, 100*maxShareMoved(r.Seconds), 100*moveCap, d.drainTime(r), classCut)
	}
	w.Flush()
	minimum := time.Duration(1/moveCap) * moveInterval
	fmt.Printf("drain of site %s under a cap of %.0f%% in %s: the minimum time is %s\n", d.drained, 100*moveCap, moveInterval, minimum)
	fmt.Printf("requests cut: %d\n", cut)
	if cut > 0 {
		return errors.Errorf("%d requests were cut", cut)
	}
	return nil
}

func countOf(counts []count, name string) int64 {
	for _, c := range counts {
		if c.Name == name {
			return c.Count
		}
	}
	return 0
}

func formatCounts(counts []count) string {
	var parts []string
	for _, c := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", c.Name, c.Count))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// drainTime returns the time from the start of the drain to the last request at the drained site, or "not
// drained" if the site got requests until the end of the run.
func (d *demo) drainTime(r classResult) string {
	last := int64(0)
	for _, s := range r.Seconds {
		if countOf(s.Sites, d.drained) > 0 {
			last = s.UnixSecond
		}
	}
	if n := len(r.Seconds); n == 0 || last >= r.Seconds[n-1].UnixSecond-1 {
		return "not drained"
	}
	return time.Unix(last+1, 0).Sub(d.drainedAt).Round(time.Second).String()
}

// maxShareMoved estimates the largest share of work that moved in one interval. For each window of one
// interval it adds up the requests that sites got beyond their share in the half interval before.
func maxShareMoved(seconds []second) float64 {
	const window = int(moveInterval / time.Second)
	largest := 0.0
	for start := window; start+window <= len(seconds); start++ {
		before, beforeTotal := sumBySite(seconds[start-window/2 : start])
		during, duringTotal := sumBySite(seconds[start : start+window])
		gained := 0.0
		for site, n := range during {
			expected := float64(before[site]) / float64(beforeTotal) * float64(duringTotal)
			gained += max(0, float64(n)-expected)
		}
		largest = max(largest, gained/float64(duringTotal))
	}
	return largest
}

func sumBySite(seconds []second) (sites map[string]int64, total int64) {
	sites = make(map[string]int64)
	for _, s := range seconds {
		for _, c := range s.Sites {
			sites[c.Name] += c.Count
			total += c.Count
		}
	}
	return sites, total
}
