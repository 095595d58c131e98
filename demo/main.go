package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/operator"
	"lovageyard.example/lovageyard/settings"
)

// Times of the demo's events, relative to the start of the load, and timeouts.
const (
	loadDuration = 42 * time.Second
	drainAt      = 8 * time.Second
	stopAt       = 24 * time.Second
	drainWithin  = 40 * time.Second
	readyWithin  = 60 * time.Second
	pollInterval = 200 * time.Millisecond
)

type options struct {
	Deployment string `default:"landavgift" enum:"landavgift,sanad,fleet" help:"Deployment to run: landavgift, sanad, or fleet (112 entry instances without load, for measurements)."`
	Bin        string `default:"bin" help:"Directory of the programs."`
	Out        string `default:"out" help:"Directory for logs and results."`
	Choice     string `default:"shared" help:"How entry instances choose a backend server."`
}

// demo is one run of a deployment. entries and daemons hold the entry instances and their processes in the same
// order; drainedSite is drained from drainedAt on.
type demo struct {
	deployment  deployment
	choice      string
	bin         string
	logs        string
	processes   []*process
	platform    string
	entries     []lovageyard.EntryInstance
	daemons     []*process
	operator    *operator.Client
	drainedSite string
	drainedAt   time.Time
}

func main() {
	var o options
	settings.Parse("demo", "LOVAGEYARD_DEMO", "Run a whole deployment on this machine for about a minute.", &o)
	d := &demo{bin: o.Bin, choice: o.Choice, logs: filepath.Join(o.Out, o.Deployment)}
	for _, known := range deployments() {
		if known.name == o.Deployment {
			d.deployment = known
		}
	}
	err := d.run(context.Background())
	if stopErr := d.stopAll(); err == nil {
		err = stopErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func (d *demo) run(ctx context.Context) error {
	if err := os.MkdirAll(d.logs, 0o755); err != nil {
		return errors.Wrap(err, "--out")
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if d.deployment.name == fleet().name {
		return d.measureFleet(ctx)
	}
	fmt.Printf("%s: %d entry instances, %d failure domains; load for %s, drain of %s at %s, stop of %s at %s\n",
		d.deployment.name, len(d.entries), len(d.deployment.domains()), loadDuration, d.deployment.domains()[0], drainAt,
		d.entries[len(d.entries)-1].Name, stopAt)
	return d.runUnderLoad(ctx)
}

// runUnderLoad generates load, drains a site and stops an entry instance under it, and prints the summary.
func (d *demo) runUnderLoad(ctx context.Context) error {
	results := filepath.Join(d.logs, "results.json")
	load, err := d.startProcess("load", "lovageyard-load", nil, d.loadArgs(results)...)
	if err != nil {
		return err
	}
	time.Sleep(drainAt)
	d.drainedSite = d.deployment.domains()[0]
	d.drainedAt = time.Now()
	if err := d.operator.Drain(ctx, d.drainedSite, time.Now().Add(drainWithin)); err != nil {
		return errors.Wrap(err, "drain")
	}
	time.Sleep(stopAt - drainAt)
	last := d.daemons[len(d.daemons)-1]
	if err := last.stop(); err != nil {
		return errors.Wrap(err, "stop of an entry instance")
	}
	<-load.exited
	if load.err != nil {
		return errors.Wrap(load.err, "load")
	}
	return d.printSummary(results)
}

func (d *demo) loadArgs(results string) []string {
	args := []string{"--duration", loadDuration.String(), "--json", results, "--timeout", "10s"}
	for position := range d.deployment.domains() {
		args = append(args, "--network", network(position))
	}
	args = append(args, "--clients", fmt.Sprint(blocksPerDomain*len(d.deployment.domains())))
	for _, e := range d.entries {
		args = append(args, "--look-up-address", e.CallerAddress)
	}
	for _, s := range d.deployment.services {
		args = append(args, "--stream", fmt.Sprintf("%s:%s:%s:%v:%d", s.class, s.method, s.path, s.rate, s.bytes))
	}
	return args
}

// stopAll stops all running processes concurrently and returns the first error.
func (d *demo) stopAll() error {
	failures := make(chan error, len(d.processes))
	for _, p := range d.processes {
		go func() {
			select {
			case <-p.exited:
				failures <- nil
			default:
				failures <- p.stop()
			}
		}()
	}
	var first error
	for range d.processes {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}
