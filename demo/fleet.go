package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/operator"
)

// Size and pace of the fleet's run.
const (
	fleetChanges  = 30
	fleetPause    = 500 * time.Millisecond
	fleetInForce  = 30 * time.Second
	fleetPoll     = 50 * time.Millisecond
	quietFor      = 20 * time.Second
	ticksASecond  = 100
	statUserTime  = 11
	statSysTime   = 12
	statusBytesKB = 1024
)

// fleet is a deployment of many entry instances without load.
func fleet() deployment {
	d := deployment{name: "fleet", perDomain: 7, domainDelay: time.Millisecond, regionDelay: 10 * time.Millisecond}
	for n := range 8 {
		d.regions = append(d.regions, fmt.Sprintf("region-%d", n+1))
	}
	for n := range 3 {
		name := fmt.Sprintf("service-%d", n+1)
		d.services = append(d.services, service{
			name: name, class: "class-" + name, path: "/" + name + "/", method: "GET", idempotent: true,
			servers: 16, slots: 4, connections: 100, mean: 10 * time.Millisecond, deadline: time.Second,
		})
	}
	return d
}

// measureFleet makes changes and measures how long each takes to be in force at every
// entry instance, and then what a quiet instance spends.
func (d *demo) measureFleet(ctx context.Context) error {
	fmt.Printf("fleet: %d entry instances, %d failure domains\n", len(d.entries), len(d.deployment.domains()))
	var took []time.Duration
	k := d.deployment.services[0].lovageyardClass()
	for n := range fleetChanges {
		k.Importance = n % 10
		span, err := d.change(ctx, k)
		if err != nil {
			return err
		}
		took = append(took, span)
		time.Sleep(fleetPause)
	}
	slices.Sort(took)
	fmt.Printf("accepted to in force everywhere, %d changes: median %s, largest %s\n", len(took),
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
	return d.quiet()
}

// change puts a class in force and returns the time from its acceptance until every
// instance has it.
func (d *demo) change(ctx context.Context, k lovageyard.Class) (time.Duration, error) {
	known, err := d.operator.Class(ctx, k.Name)
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	accepted, err := d.operator.PutClass(ctx, k, known.Version)
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	began := time.Now()
	bound, cancel := context.WithTimeout(ctx, fleetInForce)
	defer cancel()
	var waiting sync.WaitGroup
	for _, e := range d.entries {
		waiting.Go(func() {
			client := operator.NewClient([]string{e.OperatorAddress})
			for bound.Err() == nil {
				health, err := client.Health(bound)
				if err == nil && health.Version >= accepted.Version {
					return
				}
				time.Sleep(fleetPoll)
			}
		})
	}
	waiting.Wait()
	if bound.Err() != nil {
		return 0, errors.Errorf("version %d was not in force everywhere in %s", accepted.Version, fleetInForce)
	}
	return time.Since(began), nil
}

// quiet prints what the entry instances spend while nobody asks anything.
func (d *demo) quiet() error {
	before := make([]float64, len(d.daemons))
	for i, p := range d.daemons {
		before[i] = processorSeconds(p)
	}
	time.Sleep(quietFor)
	var shares, sizes []float64
	for i, p := range d.daemons {
		shares = append(shares, 100*(processorSeconds(p)-before[i])/quietFor.Seconds())
		sizes = append(sizes, residentMB(p))
	}
	slices.Sort(shares)
	slices.Sort(sizes)
	last := len(shares) - 1
	fmt.Printf("quiet for %s: processor median %.2f%%, largest %.2f%% of a core; resident memory median %.0f MB, largest %.0f MB\n",
		quietFor, shares[last/2], shares[last], sizes[last/2], sizes[last])
	return nil
}

// processorSeconds returns the processor time that a process has used so far.
func processorSeconds(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[statUserTime], 64)
	system, _ := strconv.ParseFloat(fields[statSysTime], 64)
	return (user + system) / ticksASecond
}

// residentMB returns the memory that a process holds.
func residentMB(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / statusBytesKB
		}
	}
	return 0
}
