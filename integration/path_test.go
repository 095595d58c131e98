package integration

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// TestDrainUnderLoad drains a site under load. All work must move to the other site, no request may be cut
// or refused, no server may exceed its slots, and no charge may run twice.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	reads := d.startTraffic("lookups", http.MethodGet, 4)
	writes := d.startTraffic("charges", http.MethodPost, 2)
	d.until("work at north-1", func() bool { return reads.takeSites()["north-1"] > 0 })
	d.c.Assert(d.client.Drain(context.Background(), "north-1", time.Now().Add(time.Minute)), qt.IsNil)
	d.until("the drain", func() bool {
		time.Sleep(time.Second)
		r, w := reads.takeSites(), writes.takeSites()
		return r["north-1"] == 0 && r["north-2"] > 0 && w["north-1"] == 0 && w["north-2"] > 0
	})
	d.c.Assert(d.client.Restore(context.Background(), "north-1"), qt.IsNil)
	reads.stopAndCheck(d.c)
	writes.stopAndCheck(d.c)
	for _, s := range d.servers {
		n := d.counts(s)
		d.c.Assert(n.MostRunning <= s.Slots, qt.IsTrue)
		for key, runs := range n.Keys {
			d.c.Assert(runs, qt.Equals, 1, qt.Commentf("%s ran %d times", key, runs))
		}
	}
}

// TestStopUnderLoad stops an entry instance under load. It must disappear from look-ups, complete the
// requests in flight and exit with status 0.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	reads := d.startTraffic("lookups", http.MethodGet, 4)
	d.until("work", func() bool { return reads.takeSites()["north-1"] > 0 })
	d.daemons[1].terminate(d.c)
	answer, err := lookUp(d.entries[0].CallerAddress, "lookups")
	d.c.Assert(err, qt.IsNil)
	for _, i := range answer.Instances {
		d.c.Assert(i.Instance, qt.Not(qt.Equals), d.entries[1].Name)
	}
	// Callers also send look-ups to the stopped instance; only these may fail.
	reads.mu.Lock()
	for _, err := range reads.failed {
		d.c.Check(err, qt.ErrorMatches, `.*/look-up.*connection refused`)
	}
	reads.failed = nil
	reads.mu.Unlock()
	reads.stopAndCheck(d.c)
}

// TestSecondSignalStopsImmediately sends a second signal to an instance that is leaving: it must exit
// without waiting for the rest of its leave time.
func TestSecondSignalStopsImmediately(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	p := d.daemons[1]
	p.signal(syscall.SIGTERM)
	d.until("leaving", func() bool {
		status, err := d.status(d.entries[1])
		return err == nil && status.State == lovageyard.StateLeaving
	})
	p.terminate(d.c)
}

// TestLeavingServerGetsNoNewWork has a server report in its load reports that it is leaving. It must get
// no new requests, and no request may be cut.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	reads := d.startTraffic("lookups", http.MethodGet, 4)
	leaving := d.servers[0]
	d.until("work at the server", func() bool { return d.counts(leaving).Requests > 0 })
	d.put("http://"+leaving.Address+"/standin/faults", struct {
		Leaving bool `json:"leaving"`
	}{true})
	d.until("no new work", func() bool {
		before := d.counts(leaving).Requests
		time.Sleep(500 * time.Millisecond)
		return d.counts(leaving).Requests == before
	})
	before := d.counts(leaving).Requests
	time.Sleep(2 * time.Second)
	d.c.Assert(d.counts(leaving).Requests, qt.Equals, before)
	reads.stopAndCheck(d.c)
}

// TestKilledInstanceDisappearsFromLookUps kills an entry instance. The others must stop naming it in look-ups.
func TestKilledInstanceDisappearsFromLookUps(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.daemons[1].signal(syscall.SIGKILL)
	d.until("the killed instance to disappear from look-ups", func() bool {
		answer, err := lookUp(d.entries[0].CallerAddress, "lookups")
		d.c.Assert(err, qt.IsNil)
		for _, i := range answer.Instances {
			if i.Instance == d.entries[1].Name {
				return false
			}
		}
		return true
	})
}

// TestPlatformDown makes the platform refuse all calls. Reads must be served as before, while an operator's call
// that reads the platform must fail.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.put("http://"+d.platform+"/standin/faults", struct {
		Down bool `json:"down"`
	}{true})
	reads := d.startTraffic("lookups", http.MethodGet, 4)
	served := 0
	d.until("work", func() bool {
		served += reads.takeSites()["north-1"]
		return served > 100
	})
	reads.stopAndCheck(d.c)
	_, err := d.client.Class(context.Background(), "lookups")
	d.c.Assert(err, qt.IsNotNil)
}

// TestCommandLine checks the exit status and the output of the operators' commands.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	valid := filepath.Join(t.TempDir(), "class.json")
	d.c.Assert(os.WriteFile(valid, []byte(`{"name": "statements", "service": "desk", "idempotent": true, "deadline": "2s",
		"match": [{"path-prefix": "/statements/"}], "target": {"cap": 0.1, "interval": "30s"}}`), 0o600), qt.IsNil)
	invalid := filepath.Join(t.TempDir(), "bad.json")
	d.c.Assert(os.WriteFile(invalid, []byte(`{"name": "statements", "weight": 1}`), 0o600), qt.IsNil)
	for _, test := range []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"check", []string{"class", "check", valid}, 0, "well-formed"},
		{"check of an invalid file", []string{"class", "check", invalid}, 2, `unknown field "weight"`},
		{"put", []string{"class", "put", valid}, 0, "accepted as version"},
		{"put with an old version", []string{"class", "put", valid, "--version", "0"}, 3, "in force, at version"},
		{"show", []string{"class", "show", "statements"}, 0, `"interval": "30s"`},
		{"show of an unknown class", []string{"class", "show", "none"}, 4, "does not exist"},
		{"list", []string{"class", "list"}, 0, "lookups"},
		{"instances", []string{"instance", "list", "--output", "json"}, 0, `"instance": "north-2-entry-2"`},
		{"explain", []string{"explain", "--class", "lookups", "--client", "192.0.2.1"}, 0, "north-1"},
		{"status", []string{"status"}, 0, "TAKE WORK"},
		{"moves", []string{"move", "list", "--all"}, 0, "lookups"},
		{"drain with an invalid time", []string{"site", "drain", "north-1", "--by", "soon"}, 2, "--by: a time such as"},
		{"drain of an unknown site", []string{"site", "drain", "south-1"}, 4, "not on the platform's list"},
		{"unknown flag", []string{"status", "--weight", "3"}, 2, "unknown flag --weight"},
		{"no instance answers", []string{"status", "--operator-address", "127.0.0.1:1"}, 1, "no operator address answered"},
	} {
		d.c.Run(test.name, func(c *qt.C) {
			args := append([]string{"--operator-address", d.entries[0].OperatorAddress}, test.args...)
			if test.name == "no instance answers" {
				args = test.args
			}
			command := exec.Command(filepath.Join(bin, "lovageyard"), args...)
			var out bytes.Buffer
			command.Stdout = &out
			command.Stderr = &out
			_ = command.Run()
			c.Assert(command.ProcessState.ExitCode(), qt.Equals, test.code, qt.Commentf("%s", out.String()))
			c.Assert(out.String(), qt.Contains, test.out)
		})
	}
}

// TestSettingsAreChecked starts the daemon with invalid settings. It must name the first invalid one on
// standard error and exit with status 2.
func TestSettingsAreChecked(t *testing.T) {
	valid := []string{"--instance", "one", "--failure-domain", "a", "--region", "r", "--platform-address", "127.0.0.1:1"}
	for _, test := range []struct {
		name string
		args []string
		env  string
		out  string
	}{
		{"none", nil, "", "lovageyardd: --instance: a value is needed\n"},
		{"address", append(valid, "--caller-address", "here"), "", "lovageyardd: --caller-address: \"here\" is not of the form host:port\n"},
		{"headroom", append(valid, "--headroom", "2"), "", "lovageyardd: --headroom: 2 is not 0 to 0.9\n"},
		{"delays", append(valid, "--same-region-delay", "1s"), "", "lovageyardd: --same-region-delay: not above --other-region-delay\n"},
		{"choice", append(valid, "--choice", "best"), "", "lovageyardd: --choice: choice mode \"best\" is not known\n"},
		{"environment", valid, "LOVAGEYARD_KEEP_FOR=-1s", "lovageyardd: --keep-for: -1s is not above 0s and at most 1h0m0s\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			command := exec.Command(filepath.Join(bin, "lovageyardd"), test.args...)
			command.Env = append(os.Environ(), test.env)
			var out bytes.Buffer
			command.Stderr = &out
			_ = command.Run()
			c.Assert(command.ProcessState.ExitCode(), qt.Equals, 2)
			c.Assert(out.String(), qt.Equals, test.out)
		})
	}
}
