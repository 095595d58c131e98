package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/caller"
	"lovageyard.example/lovageyard/operator"
)

// bin is the directory of the programs that TestMain builds.
var bin string

// Timeout and interval of polling for a condition.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "lovageyard")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	bin = dir
	for _, program := range []string{"lovageyardd", "lovageyard", "standin"} {
		build := exec.Command("go", "build", "-race", "-o", filepath.Join(dir, program), ".")
		build.Dir = filepath.Join("..", program)
		if out, err := build.CombinedOutput(); err != nil {
			return 1, fmt.Errorf("%s: %v: %s", program, err, out)
		}
	}
	return m.Run(), nil
}

// process is a program that a test has started.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	exited  chan struct{}
	err     error
}

// run starts a program and decodes its first line of output, which announces its addresses, into ready.
func run(c *qt.C, ready any, program string, args ...string) *process {
	p := &process{exited: make(chan struct{}), log: &bytes.Buffer{}}
	p.command = exec.Command(filepath.Join(bin, program), args...)
	p.command.Stderr = p.log
	out, err := p.command.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.command.Start(), qt.IsNil)
	reader := bufio.NewReader(out)
	line, err := reader.ReadBytes('\n')
	c.Assert(err, qt.IsNil, qt.Commentf("%s", program))
	c.Assert(json.Unmarshal(line, ready), qt.IsNil)
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		p.err = p.command.Wait()
		close(p.exited)
	}()
	c.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
	return p
}

func (p *process) signal(s os.Signal) {
	_ = p.command.Process.Signal(s)
}

// terminate sends SIGTERM and waits for the process to exit with status 0.
func (p *process) terminate(c *qt.C) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		c.Assert(p.err, qt.IsNil, qt.Commentf("%s", p.log))
	case <-time.After(waitTimeout):
		c.Fatal("timed out waiting for the process to exit")
	}
}

// deployment is a small deployment: two failure domains of one region, with two entry
// instances and two backend servers each.
type deployment struct {
	c        *qt.C
	platform string
	entries  []lovageyard.EntryInstance
	daemons  []*process
	servers  []lovageyard.BackendServer
	client   *operator.Client
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{c: qt.New(t)}
	var ready struct {
		Address string `json:"address"`
	}
	run(d.c, &ready, "standin", "platform")
	d.platform = ready.Address
	for _, domain := range []string{"north-1", "north-2"} {
		var servers []lovageyard.BackendServer
		run(d.c, &servers, "standin", "servers", "--failure-domain", domain, "--region", "north",
			"--platform", d.platform, "--group", "desk:2:8:100:5ms")
		d.servers = append(d.servers, servers...)
	}
	for _, domain := range []string{"north-1", "north-2"} {
		for n := range 2 {
			d.startEntry(fmt.Sprintf("%s-entry-%d", domain, n+1), domain)
		}
	}
	d.client = operator.NewClient([]string{d.entries[0].OperatorAddress})
	d.putClass("lookups", true, "/lookups/")
	d.putClass("charges", false, "/charges/")
	for _, e := range d.entries {
		d.until("placement at "+e.Name, func() bool { return d.isPlaced(e, 2) })
	}
	return d
}

func (d *deployment) startEntry(name, domain string) {
	var ready lovageyard.EntryInstance
	p := run(d.c, &ready, "lovageyardd", "--instance", name, "--failure-domain", domain, "--region", "north",
		"--platform-address", d.platform, "--keep-for", "1s", "--log-level", "info")
	d.daemons = append(d.daemons, p)
	d.entries = append(d.entries, ready)
	d.put("http://"+d.platform+"/standin/entry-instances", ready)
}

func (d *deployment) put(target string, value any) {
	body, err := json.Marshal(value)
	d.c.Assert(err, qt.IsNil)
	request, err := http.NewRequest(http.MethodPut, target, bytes.NewReader(body))
	d.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	d.c.Assert(err, qt.IsNil)
	d.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	d.c.Assert(response.Body.Close(), qt.IsNil)
}

func (d *deployment) putClass(name string, idempotent bool, path string) {
	_, err := d.client.PutClass(context.Background(), lovageyard.Class{
		Name: name, Service: "desk", Match: []lovageyard.Match{{PathPrefix: path}}, Idempotent: idempotent,
		Deadline: lovageyard.Duration(10 * time.Second),
		Target:   lovageyard.Target{Cap: 0.5, Interval: lovageyard.Duration(time.Second)},
	}, 0)
	d.c.Assert(err, qt.IsNil)
}

func (d *deployment) status(e lovageyard.EntryInstance) (operator.Status, error) {
	return operator.NewClient([]string{e.OperatorAddress}).Status(context.Background())
}

// isPlaced reports whether an instance knows all instances and has a placement for at least a number of
// classes.
func (d *deployment) isPlaced(e lovageyard.EntryInstance, classes int) bool {
	status, err := d.status(e)
	if err != nil || len(status.Moves) < classes || len(status.Instances) < len(d.entries) {
		return false
	}
	for _, m := range status.Moves {
		if m.Step == 0 {
			return false
		}
	}
	return true
}

// until polls a condition until it holds, and fails the test after waitTimeout.
func (d *deployment) until(what string, holds func() bool) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	d.c.Fatalf("timed out waiting for %s", what)
}

// lookUp sends a look-up for a class to the entry instance at an address and returns the answer.
func lookUp(address, class string) (caller.LookUp, error) {
	var answer caller.LookUp
	response, err := http.Get("http://" + address + "/look-up?class=" + class)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// traffic sends requests as callers do, through the instances that look-ups name, until it is stopped.
type traffic struct {
	stop    chan struct{}
	senders sync.WaitGroup
	mu      sync.Mutex
	sites   map[string]int
	status  map[int]int
	failed  []error
}

// startTraffic starts concurrent senders, each with a cached look-up of its own.
func (d *deployment) startTraffic(class, method string, senders int) *traffic {
	t := &traffic{stop: make(chan struct{}), sites: make(map[string]int), status: make(map[int]int)}
	for n := range senders {
		t.senders.Go(func() { t.send(d, n, class, method) })
	}
	return t
}

// send is the loop of one sender. It ends when the traffic is stopped or a look-up fails.
func (t *traffic) send(d *deployment, n int, class, method string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	var cached caller.LookUp
	var expires time.Time
	for number := 0; ; number++ {
		select {
		case <-t.stop:
			return
		default:
		}
		if time.Now().After(expires) {
			fresh, err := lookUp(d.entries[n%2].CallerAddress, class)
			if err != nil {
				t.record("", 0, err)
				return
			}
			cached = fresh
			expires = time.Now().Add(time.Duration(fresh.KeepForMs) * time.Millisecond)
		}
		target := fmt.Sprintf("http://%s/%s/%d-%d?bytes=2000", cached.Instances[0].Address, class, n, number)
		request, err := http.NewRequest(method, target, bytes.NewReader([]byte("{}")))
		if err != nil {
			t.record("", 0, err)
			return
		}
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", class, n, number))
		t.sendOne(client, request)
		time.Sleep(5 * time.Millisecond)
	}
}

func (t *traffic) sendOne(client *http.Client, request *http.Request) {
	response, err := client.Do(request)
	if err != nil {
		t.record("", 0, err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	t.record(response.Header.Get(lovageyard.SiteHeader), response.StatusCode, err)
}

func (t *traffic) record(site string, status int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed = append(t.failed, err)
		return
	}
	t.sites[site]++
	t.status[status]++
}

// takeSites returns the counts by site since the last call and resets them.
func (t *traffic) takeSites() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sites := t.sites
	t.sites = make(map[string]int)
	return sites
}

// stopAndCheck stops the traffic and fails the test if a request had an error or a status other than 200.
func (t *traffic) stopAndCheck(c *qt.C) {
	close(t.stop)
	t.senders.Wait()
	c.Assert(t.failed, qt.HasLen, 0)
	for status := range t.status {
		c.Assert(status, qt.Equals, http.StatusOK)
	}
}

// counts holds the counters of a standin server.
type counts struct {
	Requests    int            `json:"requests"`
	MostRunning int            `json:"most-running"`
	Keys        map[string]int `json:"keys"`
}

func (d *deployment) counts(s lovageyard.BackendServer) counts {
	response, err := http.Get("http://" + s.Address + "/standin/counts")
	d.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var n counts
	d.c.Assert(json.NewDecoder(response.Body).Decode(&n), qt.IsNil)
	return n
}
