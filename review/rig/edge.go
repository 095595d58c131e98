package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the role edge.
type instance struct {
	name, zone, region                  string
	front, ready, lookUp, peer, metrics string
	settings                            string
	record                              *record
	logs                                string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
}

// Ports are taken from below the range that the kernel uses for outgoing connections.
const (
	firstPort = 20000
	ports     = 12000
	// portsPerRun keeps cases apart that run at the same time.
	portsPerRun = 64
)

var lastPort = os.Getpid() * portsPerRun

// freePort returns a loopback address with a free port, another one each time. It must not be called concurrently.
func freePort() string {
	for {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort%ports)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
}

// zones are the failure domains of the deployment and their regions.
var zones = [][2]string{
	{"sv-hall-a", "svealand"}, {"no-hall-a", "norrland"}, {"go-hall-a", "gotaland"},
	{"sv-hall-b", "svealand"}, {"no-hall-b", "norrland"}, {"go-hall-b", "gotaland"},
}

// bounds are the settings of a site that do not concern addresses.
type bounds map[string]string

// smallBounds has the bounds of a small deployment.
var smallBounds = bounds{
	"keep-for-max": "5s", "leave-within": "6s", "retry-ratio": "0.2", "retry-window": "10s", "retry-slack": "64",
	"cold-excess": "1.5", "cold-slack": "5", "largest-shift": "0.15", "revoke-within": "0ms", "apply-within": "2500ms",
	"drain-within": "2500ms", "quota-window": "5s", "quota-excess": "0", "quota-slack": "0", "link-mbps": "1000.0",
	"cpu-quota": "0.32", "memory-mb": strconv.Itoa(ramMB),
}

// largeBodyBounds has the bounds of a deployment with large bodies.
var largeBodyBounds = bounds{
	"keep-for-max": "5s", "leave-within": "6s", "retry-ratio": "0.2", "retry-window": "10s", "retry-slack": "170",
	"cold-excess": "1.5", "cold-slack": "8", "largest-shift": "0.15", "revoke-within": "5000ms", "apply-within": "3000ms",
	"drain-within": "3000ms", "quota-window": "5s", "quota-excess": "0.1", "quota-slack": "20", "link-mbps": "200.0",
	"cpu-quota": "0.8", "memory-mb": "536",
}

// newInstances prepares instances, one a zone in turn.
func newInstances(count int, b bounds, storeAddress, dir string, rec *record) ([]*instance, error) {
	var list []*instance
	for i := range count {
		z := zones[i%len(zones)]
		e := &instance{
			name: fmt.Sprintf("front-%s-%d", z[0], i/len(zones)+1), zone: z[0], region: z[1], record: rec,
			front: freePort(), ready: freePort(), lookUp: freePort(), peer: freePort(), metrics: freePort(),
		}
		e.settings = filepath.Join(dir, e.name+".conf")
		e.logs = filepath.Join(dir, e.name+".log")
		list = append(list, e)
	}
	var seeds, regions []string
	for _, e := range list[:min(3, len(list))] {
		seeds = append(seeds, e.peer)
	}
	for _, z := range zones {
		regions = append(regions, z[0]+"="+z[1])
	}
	for _, e := range list {
		// The template deploy/settings.json, filled in.
		filled := map[string]string{
			"instance": e.name, "failure-domain": e.zone, "region": e.region, "regions": strings.Join(regions, ","),
			"caller-address": e.front, "ready-address": e.ready, "look-up-address": e.lookUp, "peer-address": e.peer,
			"metrics-address": e.metrics, "platform-address": storeAddress, "peer-addresses": strings.Join(seeds, ","),
		}
		maps.Copy(filled, b)
		text, err := json.MarshalIndent(filled, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(e.settings, text, 0o600); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// ramMB is RamMb of the machines of smallBounds-lb.
const ramMB = 284

// start starts the process with the command of deploy/system.toml.
func (e *instance) start() error {
	logs, err := os.OpenFile(e.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command("target/lovageyardd", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LOVAGEYARD_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	e.record.add("platform: %s started, process %d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		e.record.add("platform: %s ended: %v", e.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *instance) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.add("platform: %v to %s", s, e.name)
	_ = e.cmd.Process.Signal(s)
}

// wait waits until the process has ended.
func (e *instance) wait() {
	e.mu.Lock()
	done := e.done
	e.mu.Unlock()
	<-done
}

// running reports whether the process runs.
func (e *instance) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// rssMB returns the resident memory of the process.
func (e *instance) rssMB() int {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// isReady asks the readiness address.
func (e *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/readyz", nil)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func awaitReady(list []*instance, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		all := true
		for _, e := range list {
			all = all && e.isReady()
		}
		if all {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
