package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// edge is one entry instance, started with the command of the deploy file.
type edge struct {
	name                         string
	zone, region                 string
	front, ready, lookUps, peers string
	metrics                      string
	settings                     string
	cmd                          *exec.Cmd
	log                          *os.File
	exited                       chan struct{}
}

// deployment is a small deployment on loopback.
type deployment struct {
	dir     string
	store   *store
	edges   []*edge
	extra   map[string]string
	program string
}

func newDeployment() *deployment {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	return &deployment{dir: dir, store: startStore(), extra: make(map[string]string), program: filepath.Join("target", "lovageyardd")}
}

var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address with a free port below those that the system gives to connections.
func freeAddress() string {
	for range 1000 {
		port := 15000 + rand.IntN(16000)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	fail("no free port")
	return ""
}

// addEdge prepares an instance; its addresses are free ports.
func (d *deployment) addEdge(name, zone, region string) *edge {
	e := &edge{
		name: name, zone: zone, region: region,
		front: freeAddress(), ready: freeAddress(), lookUps: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		settings: filepath.Join(d.dir, name+".json"),
	}
	d.edges = append(d.edges, e)
	return e
}

// writeSettings fills in the fields of deploy/settings.json with the figures of a small deployment.
func (d *deployment) writeSettings(e *edge) {
	var seeds []string
	for _, other := range d.edges[:min(3, len(d.edges))] {
		seeds = append(seeds, other.peers)
	}
	values := map[string]string{
		"instance": e.name, "failure-domain": e.zone, "region": e.region,
		"regions":        "sv-hall-a=svealand,no-hall-a=norrland,go-hall-a=gotaland",
		"caller-address": e.front, "ready-address": e.ready, "look-up-address": e.lookUps, "peer-address": e.peers,
		"metrics-address": e.metrics, "platform-address": d.store.address, "peer-addresses": strings.Join(seeds, ","),
		"keep-for-max": "5s", "leave-within": "6s", "retry-ratio": "0.2", "retry-window": "10s", "retry-slack": "64",
		"cold-excess": "1.5", "cold-slack": "5", "largest-shift": "0.15", "revoke-within": "0ms", "apply-within": "2500ms",
		"drain-within": "2500ms", "quota-window": "5s", "quota-excess": "0", "quota-slack": "0", "link-mbps": "1000.0",
		"cpu-quota": "0.32", "memory-mb": "284",
	}
	for name, value := range d.extra {
		values[name] = value
	}
	text, err := json.MarshalIndent(values, "", "  ")
	check(err)
	check(os.WriteFile(e.settings, text, 0o644))
}

// start starts an instance and waits until it is ready.
func (d *deployment) start(e *edge) {
	d.writeSettings(e)
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	e.log = log
	e.cmd = exec.Command(d.program, "edge")
	e.cmd.Env = []string{"LOVAGEYARD_BOOT=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C"}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(e.cmd.Start())
	record("started %s as process %d, front %s", e.name, e.cmd.Process.Pid, e.front)
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		record("process of %s ended: %v", e.name, cmd.ProcessState)
		close(exited)
	}(e.cmd, e.exited)
}

func (d *deployment) startAll() {
	for _, e := range d.edges {
		d.start(e)
	}
	for _, e := range d.edges {
		e.awaitReady(15 * time.Second)
	}
}

func (e *edge) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (e *edge) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if e.isReady() {
			return
		}
	}
	fail("%s is not ready after %s", e.name, limit)
}

func (e *edge) signal(s syscall.Signal) {
	record("signal %s to %s", s, e.name)
	_ = e.cmd.Process.Signal(s)
}

func (e *edge) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// stop ends all instances.
func (d *deployment) stop() {
	for _, e := range d.edges {
		if e.cmd != nil && !e.hasExited() {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// zones are those of the deployment, each in a region of its own.
var (
	zones   = []string{"sv-hall-a", "no-hall-a", "go-hall-a"}
	regions = []string{"svealand", "norrland", "gotaland"}
)

// addEdges prepares an instance in each zone.
func (d *deployment) addEdges() {
	for i, zone := range zones {
		d.addEdge("front-"+zone+"-1", zone, regions[i])
	}
}
