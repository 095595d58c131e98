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

// bin is the directory of the programs, built once.
var bin string

// Bounds of waits; a wait ends as soon as its condition holds.
const (
	waitFor   = 60 * time.Second
	pollEvery = 50 * time.Millisecond
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

// process is a running program.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	exited  chan struct{}
	err     error
}

// run starts a program and reads the line that it announces itself with.
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

// terminate asks the process to leave and waits for its end.
func (p *process) terminate(c *qt.C) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		c.Assert(p.err, qt.IsNil, qt.Commentf("%s", p.log))
	case <-time.After(waitFor):
		c.Fatal("the process did not end")
	}
}

// yard is a small deployment: two failure domains of one region, with two entry
// instances and two backend servers each.
type yard struct {
	c        *qt.C
	platform string
	entries  []lovageyard.EntryInstance
	daemons  []*process
	servers  []lovageyard.BackendServer
	client   *operator.Client
}

func newYard(t *testing.T) *yard {
	y := &yard{c: qt.New(t)}
	var ready struct {
		Address string `json:"address"`
	}
	run(y.c, &ready, "standin", "platform")
	y.platform = ready.Address
	for _, domain := range []string{"north-1", "north-2"} {
		var servers []lovageyard.BackendServer
		run(y.c, &servers, "standin", "servers", "--failure-domain", domain, "--region", "north",
			"--platform", y.platform, "--group", "desk:2:8:100:5ms")
		y.servers = append(y.servers, servers...)
	}
	for _, domain := range []string{"north-1", "north-2"} {
		for n := range 2 {
			y.startEntry(fmt.Sprintf("%s-entry-%d", domain, n+1), domain)
		}
	}
	y.client = operator.NewClient([]string{y.entries[0].OperatorAddress})
	y.putClass("lookups", true, "/lookups/")
	y.putClass("charges", false, "/charges/")
	for _, e := range y.entries {
		y.until("placement at "+e.Name, func() bool { return y.placed(e, 2) })
	}
	return y
}

func (y *yard) startEntry(name, domain string) {
	var ready lovageyard.EntryInstance
	p := run(y.c, &ready, "lovageyardd", "--instance", name, "--failure-domain", domain, "--region", "north",
		"--platform-address", y.platform, "--keep-for", "1s", "--log-level", "info")
	y.daemons = append(y.daemons, p)
	y.entries = append(y.entries, ready)
	y.put("http://"+y.platform+"/standin/entry-instances", ready)
}

func (y *yard) put(target string, value any) {
	body, err := json.Marshal(value)
	y.c.Assert(err, qt.IsNil)
	request, err := http.NewRequest(http.MethodPut, target, bytes.NewReader(body))
	y.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	y.c.Assert(err, qt.IsNil)
	y.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	y.c.Assert(response.Body.Close(), qt.IsNil)
}

func (y *yard) putClass(name string, idempotent bool, path string) {
	_, err := y.client.PutClass(context.Background(), lovageyard.Class{
		Name: name, Service: "desk", Match: []lovageyard.Match{{PathPrefix: path}}, Idempotent: idempotent,
		Deadline: lovageyard.Duration(10 * time.Second),
		Target:   lovageyard.Target{Cap: 0.5, Interval: lovageyard.Duration(time.Second)},
	}, 0)
	y.c.Assert(err, qt.IsNil)
}

func (y *yard) status(e lovageyard.EntryInstance) (operator.Status, error) {
	return operator.NewClient([]string{e.OperatorAddress}).Status(context.Background())
}

func (y *yard) placed(e lovageyard.EntryInstance, classes int) bool {
	status, err := y.status(e)
	if err != nil || len(status.Moves) < classes || len(status.Instances) < len(y.entries) {
		return false
	}
	for _, m := range status.Moves {
		if m.Step == 0 {
			return false
		}
	}
	return true
}

func (y *yard) until(what string, holds func() bool) {
	for end := time.Now().Add(waitFor); time.Now().Before(end); time.Sleep(pollEvery) {
		if holds() {
			return
		}
	}
	y.c.Fatalf("%s did not come about", what)
}

// lookUp returns the instances that an entry instance names for a class.
func lookUp(address, class string) (caller.LookUp, error) {
	var answer caller.LookUp
	response, err := http.Get("http://" + address + "/look-up?class=" + class)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// traffic sends requests the way callers do, until it is stopped.
type traffic struct {
	stop    chan struct{}
	senders sync.WaitGroup
	mu      sync.Mutex
	sites   map[string]int
	status  map[int]int
	failed  []error
}

// startTraffic starts callers that look up an instance, keep the answer and send.
func (y *yard) startTraffic(class, method string, senders int) *traffic {
	t := &traffic{stop: make(chan struct{}), sites: make(map[string]int), status: make(map[int]int)}
	for n := range senders {
		t.senders.Go(func() { t.send(y, n, class, method) })
	}
	return t
}

func (t *traffic) send(y *yard, n int, class, method string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	var kept caller.LookUp
	var until time.Time
	for number := 0; ; number++ {
		select {
		case <-t.stop:
			return
		default:
		}
		if time.Now().After(until) {
			fresh, err := lookUp(y.entries[n%2].CallerAddress, class)
			if err != nil {
				t.note("", 0, err)
				return
			}
			kept = fresh
			until = time.Now().Add(time.Duration(fresh.KeepForMs) * time.Millisecond)
		}
		target := fmt.Sprintf("http://%s/%s/%d-%d?bytes=2000", kept.Instances[0].Address, class, n, number)
		request, err := http.NewRequest(method, target, bytes.NewReader([]byte("{}")))
		if err != nil {
			t.note("", 0, err)
			return
		}
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", class, n, number))
		t.one(client, request)
		time.Sleep(5 * time.Millisecond)
	}
}

func (t *traffic) one(client *http.Client, request *http.Request) {
	response, err := client.Do(request)
	if err != nil {
		t.note("", 0, err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	t.note(response.Header.Get(lovageyard.SiteHeader), response.StatusCode, err)
}

func (t *traffic) note(site string, status int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed = append(t.failed, err)
		return
	}
	t.sites[site]++
	t.status[status]++
}

// reset returns the counts by site so far and starts them anew.
func (t *traffic) reset() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sites := t.sites
	t.sites = make(map[string]int)
	return sites
}

// end stops the traffic and fails the test if a request was cut or refused.
func (t *traffic) end(c *qt.C) {
	close(t.stop)
	t.senders.Wait()
	c.Assert(t.failed, qt.HasLen, 0)
	for status := range t.status {
		c.Assert(status, qt.Equals, http.StatusOK)
	}
}

// counts is what a stand-in server has seen.
type counts struct {
	Requests    int            `json:"requests"`
	MostRunning int            `json:"most-running"`
	Keys        map[string]int `json:"keys"`
}

func (y *yard) counts(s lovageyard.BackendServer) counts {
	response, err := http.Get("http://" + s.Address + "/standin/counts")
	y.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var n counts
	y.c.Assert(json.NewDecoder(response.Body).Decode(&n), qt.IsNil)
	return n
}
