package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/settings"
)

// Phases after the last fault: the system settles, then its share of served requests is measured.
const (
	settleTime   = 8 * time.Second
	recoveryTime = 3 * time.Second
)

// options are the settings of the soak.
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
	Restores     bool          `default:"true" negatable:"" help:"Restore the store from copies that are some seconds old."`
	Backpressure bool          `help:"Play servers that ask for less in their answers, beside faults of instances and of the store only."`
	Restarts     bool          `help:"Kill instances in series, all at once and in turn, while servers reject requests."`
	Shifts       bool          `help:"Play bursts and changes of the configuration only, and check in which regions requests run."`
	Heavy        bool          `help:"Send large bodies, slow ones and pipelined requests besides, over two widths of links, to servers whose pace changes."`
	Before       string        `help:"Commit of an older version, from which all instances start, are replaced in turn by this one, and go back again; there are no faults then."`
	Refusals     bool          `help:"Send charges to servers whose faults concern single connections and bytes, and check that none runs that was answered as not run."`
	Version      string        `help:"Commit of an older version that all instances run; with --refusals."`
	Fault        string        `help:"The only fault of servers that is played; with --refusals."`
	Rate         int           `default:"500" help:"Requests per second; with --refusals."`
	Slots        int           `default:"16" help:"Slots of a server; with --refusals."`
	Work         time.Duration `default:"60ms" help:"Time that a server works on a request; with --refusals."`
	Deadline     time.Duration `default:"1500ms" help:"Deadline of most requests; with --refusals."`
	Attempts     int           `default:"2" help:"Attempts of a request at servers."`
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
	if !o.Refusals && (o.Version != "" || o.Fault != "") {
		return errors.New("--version, --fault: only with --refusals")
	}
	if o.Fault != "" && !slices.Contains(allFaults(), o.Fault) {
		return errors.Errorf("--fault: one of %q", allFaults())
	}
	if o.Refusals && (o.Rate < 1 || o.Slots < 1 || o.Work <= 0 || o.Deadline <= 0) {
		return errors.New("--rate, --slots, --work, --deadline: more than 0")
	}
	if o.Attempts < 1 {
		return errors.New("--attempts: at least 1")
	}
	if o.Heavy && o.Before != "" {
		return errors.New("--heavy: not with --before, which may not know its settings")
	}
	return nil
}

// report is the result of one run. causes count the violations by cause, where that is known. harnessErrors are failures of the soak itself and processes that exited
// unexpectedly or did not stop in time.
type report struct {
	seed          uint64
	violations    []string
	counts        map[string]int
	causes        []string
	harnessErrors []string
}

// failed reports whether the run had a violation or an error.
func (r report) failed() bool {
	return len(r.violations)+len(r.harnessErrors) > 0
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

// run runs all seeds and returns the number of failed runs.
func run(o options) (int, error) {
	logrus.SetLevel(logrus.PanicLevel)
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	p, err := buildPrograms(dir, cmp.Or(o.Before, o.Version))
	if err != nil {
		return 0, err
	}
	failed := 0
	for n := range o.Seeds {
		r, err := runSeed(o, p, o.Seed+uint64(n))
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

// programs holds the paths of the daemon's versions. Both are the same unless --before names a commit.
type programs struct {
	current, previous string
}

// buildPrograms builds the daemon into a directory, and also that of an older commit unless commit is "".
func buildPrograms(dir, commit string) (programs, error) {
	current, err := build(dir)
	if err != nil || commit == "" {
		return programs{current: current, previous: current}, err
	}
	previous, err := buildPrevious(dir, commit)
	return programs{current: current, previous: previous}, err
}

// runSeed makes the plan of a seed, runs it against a new deployment and returns its report.
func runSeed(o options, p programs, seed uint64) (report, error) {
	out := filepath.Join(o.Out, fmt.Sprint("seed-", seed))
	if err := os.RemoveAll(out); err != nil {
		return report{}, err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return report{}, err
	}
	if o.Refusals {
		return runRefusals(o, p, seed, out)
	}
	check := newChecker()
	d, err := newDeployment(p, out, o, check)
	if err != nil {
		if d != nil {
			d.Close()
		}
		return report{}, err
	}
	callers := newCallerPool(d, check, fmt.Sprint(seed), o.Callers)
	if o.Heavy {
		callers.StartHeavy(seed, max(minHeavyCallers, o.Callers/2))
	}
	plan := makePlan(seed, o.Span)
	if o.Further {
		plan = addFurther(plan, seed, o.Span)
	}
	if o.Deadly {
		plan = addPoison(plan, seed, o.Span)
	}
	if o.Restores {
		plan = addRestores(plan, seed, o.Span)
	}
	if o.Backpressure {
		plan = backpressurePlan(seed, o.Span)
	}
	if o.Restarts {
		plan = restartPlan(seed, o.Span, o.Instances, o.Servers)
	}
	if o.Shifts {
		plan = shiftPlan(seed, o.Span)
	}
	if o.Before != "" {
		plan = versionPlan(seed, o.Span)
	}
	start := time.Now()
	for _, f := range plan {
		if o.Show {
			fmt.Println(f)
		}
		time.Sleep(time.Until(start.Add(f.At)))
		callers.burst.Store(f.Kind == burst)
		d.startFault(f)
	}
	d.runningFaults.Wait()
	callers.burst.Store(false)
	time.Sleep(settleTime)
	callers.ResetCounts()
	time.Sleep(recoveryTime)
	served, sent := callers.served.Load(), callers.sent.Load()
	callers.Close()
	check.CheckRecovery(int(served), int(sent))
	if o.Shifts {
		check.CheckShifts()
	}
	if o.Heavy {
		check.CheckHeavy()
	}
	harnessErrors := d.Close()
	violations, counts := check.Result()
	return report{seed: seed, violations: violations, counts: counts, harnessErrors: harnessErrors}, nil
}

// printReport prints the counters of a run on one line, then its violations and errors.
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
	for _, line := range slices.Concat(r.causes, r.violations, r.harnessErrors) {
		fmt.Println("  ", line)
	}
}
