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

// Parameters of the fleet's measurements, and of the files in /proc that they read. statUserTimeField and
// statSystemTimeField are indexes into the fields of /proc/PID/stat that follow the program's name.
const (
	fleetChanges        = 30
	fleetChangePause    = 500 * time.Millisecond
	fleetChangeTimeout  = 30 * time.Second
	fleetPollInterval   = 50 * time.Millisecond
	idleTime            = 20 * time.Second
	clockTicksPerSecond = 100
	statUserTimeField   = 11
	statSystemTimeField = 12
	kbPerMB             = 1024
)

// fleet is a deployment of 112 entry instances without load.
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

// measureFleet measures the time from the acceptance of a change until it is in force at every entry
// instance, and then the resources that an idle instance uses.
func (d *demo) measureFleet(ctx context.Context) error {
	fmt.Printf("fleet: %d entry instances, %d failure domains\n", len(d.entries), len(d.deployment.domains()))
	var times []time.Duration
	class := d.deployment.services[0].lovageyardClass()
	for n := range fleetChanges {
		class.Importance = n % 10
		duration, err := d.measureChange(ctx, class)
		if err != nil {
			return err
		}
		times = append(times, duration)
		time.Sleep(fleetChangePause)
	}
	slices.Sort(times)
	fmt.Printf("from acceptance to in force everywhere, %d changes: median %s, largest %s\n", len(times),
		times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	return d.measureIdle()
}

// measureChange writes a class and returns the time from its acceptance until it is in force at every instance.
func (d *demo) measureChange(ctx context.Context, class lovageyard.Class) (time.Duration, error) {
	known, err := d.operator.Class(ctx, class.Name)
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	accepted, err := d.operator.PutClass(ctx, class, known.Version)
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	start := time.Now()
	timeoutCtx, cancel := context.WithTimeout(ctx, fleetChangeTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	for _, e := range d.entries {
		waiting.Go(func() {
			client := operator.NewClient([]string{e.OperatorAddress})
			for timeoutCtx.Err() == nil {
				health, err := client.Health(timeoutCtx)
				if err == nil && health.Version >= accepted.Version {
					return
				}
				time.Sleep(fleetPollInterval)
			}
		})
	}
	waiting.Wait()
	if timeoutCtx.Err() != nil {
		return 0, errors.Errorf("version %d was not in force everywhere in %s", accepted.Version, fleetChangeTimeout)
	}
	return time.Since(start), nil
}

// measureIdle prints the processor time and the memory that the entry instances use without requests.
func (d *demo) measureIdle() error {
	before := make([]float64, len(d.daemons))
	for i, p := range d.daemons {
		before[i] = processorSeconds(p)
	}
	time.Sleep(idleTime)
	var shares, sizes []float64
	for i, p := range d.daemons {
		shares = append(shares, 100*(processorSeconds(p)-before[i])/idleTime.Seconds())
		sizes = append(sizes, residentMB(p))
	}
	slices.Sort(shares)
	slices.Sort(sizes)
	last := len(shares) - 1
	fmt.Printf("idle for %s: processor median %.2f%%, largest %.2f%% of a core; resident memory median %.0f MB, largest %.0f MB\n",
		idleTime, shares[last/2], shares[last], sizes[last/2], sizes[last])
	return nil
}

// processorSeconds returns the user and system time of a process since its start, 0 if it can't be read.
func processorSeconds(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[statUserTimeField], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTimeField], 64)
	return (user + system) / clockTicksPerSecond
}

// residentMB returns the resident memory of a process, 0 if it can't be read.
func residentMB(p *process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / kbPerMB
		}
	}
	return 0
}
