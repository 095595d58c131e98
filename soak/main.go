package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/settings"
)

// Spans after the last fault.
const (
	settleFor  = 8 * time.Second
	recoverFor = 3 * time.Second
)

// options are the settings of a soak.
type options struct {
	Seed         uint64        `default:"1" help:"Seed of the first run."`
	Seeds        int           `default:"1" help:"Number of runs; each takes the next seed."`
	Span         time.Duration `default:"25s" help:"Time in which faults begin and end."`
	Instances    int           `default:"8" help:"Entry instances, 1 to 200."`
	Servers      int           `default:"12" help:"Backend servers, 4 to 500."`
	Callers      int           `default:"24" help:"Callers, 1 to 2000."`
	Out          string        `default:"../out/soak" help:"Directory for the logs of each run."`
	Further      bool          `default:"true" negatable:"" help:"Restart servers under their names, write foreign entries, large configurations over narrow links to the store."`
	Deadly       bool          `default:"true" negatable:"" help:"Send requests that end the servers which run them."`
	Backpressure bool          `help:"Play servers that ask for less in their answers, beside faults of instances and of the store only."`
	Before       string        `help:"Commit of an older version, from which all instances start, are replaced in turn by this one, and go back again; there are no faults then."`
	Show         bool          `help:"Print the plan of each run."`
}

// Check returns an error that names the first setting that is wrong.
func (o *options) Check() error {
	switch {
	case o.Seeds < 1:
		return errors.New("--seeds: at least 1")
	case o.Span < 5*time.Second:
		return errors.New("--span: at least 5s")
	case o.Instances < 1 || o.Instances > 200:
		return errors.New("--instances: 1 to 200")
	case o.Servers < 4 || o.Servers > 500:
		return errors.New("--servers: 4 to 500")
	case o.Callers < 1 || o.Callers > 2000:
		return errors.New("--callers: 1 to 2000")
	}
	return nil
}

// report is the result of one run.
type report struct {
	seed     uint64
	broken   []string
	counts   map[string]int
	problems []string
}

func (r report) failed() bool {
	return len(r.broken)+len(r.problems) > 0
}

func main() {
	var o options
	settings.Parse("soak", "LOVAGEYARD_SOAK", "Run entry instances under faults and check what they promise.", &o)
	failed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if failed > 0 {
		fmt.Printf("%d of %d runs failed\n", failed, o.Seeds)
		os.Exit(1)
	}
	fmt.Printf("%d runs, none failed\n", o.Seeds)
}

// run plays all seeds and returns how many failed.
func run(o options) (int, error) {
	logrus.SetLevel(logrus.PanicLevel)
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	p, err := buildPrograms(dir, o.Before)
	if err != nil {
		return 0, err
	}
	failed := 0
	for n := range o.Seeds {
		r, err := playSeed(o, p, o.Seed+uint64(n))
		if err != nil {
			return failed, err
		}
		printReport(r)
		if r.failed() {
			failed++
		}
	}
	return failed, nil
}

// programs are the paths of the versions of the daemon; both are the same if only this one runs.
type programs struct {
	now, before string
}

// buildPrograms builds the daemon into a directory, and that of an older commit if one is named.
func buildPrograms(dir, commit string) (programs, error) {
	now, err := build(dir)
	if err != nil || commit == "" {
		return programs{now: now, before: now}, err
	}
	before, err := buildBefore(dir, commit)
	return programs{now: now, before: before}, err
}

// playSeed plays one run.
func playSeed(o options, p programs, seed uint64) (report, error) {
	out := filepath.Join(o.Out, fmt.Sprint("seed-", seed))
	if err := os.RemoveAll(out); err != nil {
		return report{}, err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return report{}, err
	}
	check := newChecker()
	y, err := newYard(p, out, o.Instances, o.Servers, check)
	if err != nil {
		if y != nil {
			y.Close()
		}
		return report{}, err
	}
	callers := newCrowd(y, check, fmt.Sprint(seed), o.Callers)
	plan := makePlan(seed, o.Span)
	if o.Further {
		plan = withFurther(plan, seed, o.Span)
	}
	if o.Deadly {
		plan = withDeadly(plan, seed, o.Span)
	}
	if o.Backpressure {
		plan = backpressurePlan(seed, o.Span)
	}
	if o.Before != "" {
		plan = versionPlan(seed, o.Span)
	}
	began := time.Now()
	for _, f := range plan {
		if o.Show {
			fmt.Println(f)
		}
		time.Sleep(time.Until(began.Add(f.At)))
		callers.busy.Store(f.Kind == burst)
		y.play(f)
	}
	y.faults.Wait()
	callers.busy.Store(false)
	time.Sleep(settleFor)
	callers.Mark()
	time.Sleep(recoverFor)
	served, sent := callers.served.Load(), callers.sent.Load()
	callers.Close()
	check.Recovered(int(served), int(sent))
	problems := y.Close()
	broken, counts := check.Result()
	return report{seed: seed, broken: broken, counts: counts, problems: problems}, nil
}

func printReport(r report) {
	var names []string
	for name := range r.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Printf("seed %d:", r.seed)
	for _, name := range names {
		fmt.Printf(" %s %d", name, r.counts[name])
	}
	fmt.Println()
	for _, line := range append(r.broken, r.problems...) {
		fmt.Println("  ", line)
	}
}
