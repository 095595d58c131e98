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

// TestDrainUnderLoad moves all work off a site while callers send; nothing is cut.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	reads := y.startTraffic("lookups", http.MethodGet, 4)
	writes := y.startTraffic("charges", http.MethodPost, 2)
	y.until("work at north-1", func() bool { return reads.reset()["north-1"] > 0 })
	y.c.Assert(y.client.Drain(context.Background(), "north-1", time.Now().Add(time.Minute)), qt.IsNil)
	y.until("the drain", func() bool {
		time.Sleep(time.Second)
		r, w := reads.reset(), writes.reset()
		return r["north-1"] == 0 && r["north-2"] > 0 && w["north-1"] == 0 && w["north-2"] > 0
	})
	y.c.Assert(y.client.Restore(context.Background(), "north-1"), qt.IsNil)
	reads.end(y.c)
	writes.end(y.c)
	for _, s := range y.servers {
		n := y.counts(s)
		y.c.Assert(n.MostRunning <= s.Slots, qt.IsTrue)
		for key, runs := range n.Keys {
			y.c.Assert(runs, qt.Equals, 1, qt.Commentf("%s ran %d times", key, runs))
		}
	}
}

// TestStopUnderLoad stops an entry instance while callers send; it leaves look-ups,
// serves what is under way and exits with 0.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	reads := y.startTraffic("lookups", http.MethodGet, 4)
	y.until("work", func() bool { return reads.reset()["north-1"] > 0 })
	y.daemons[1].terminate(y.c)
	answer, err := lookUp(y.entries[0].CallerAddress, "lookups")
	y.c.Assert(err, qt.IsNil)
	for _, i := range answer.Instances {
		y.c.Assert(i.Instance, qt.Not(qt.Equals), y.entries[1].Name)
	}
	// The callers asked the stopped instance for look-ups too.
	reads.mu.Lock()
	for _, err := range reads.failed {
		y.c.Check(err, qt.ErrorMatches, `.*/look-up.*connection refused`)
	}
	reads.failed = nil
	reads.mu.Unlock()
	reads.end(y.c)
}

// TestSecondSignalHurries ends a stop at once.
func TestSecondSignalHurries(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	p := y.daemons[1]
	p.signal(syscall.SIGTERM)
	y.until("leaving", func() bool {
		status, err := y.status(y.entries[1])
		return err == nil && status.State == lovageyard.StateLeaving
	})
	p.terminate(y.c)
}

// TestLeavingServerGetsNoNewWork lets a server say that it leaves.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	reads := y.startTraffic("lookups", http.MethodGet, 4)
	leaving := y.servers[0]
	y.until("work at the server", func() bool { return y.counts(leaving).Requests > 0 })
	y.put("http://"+leaving.Address+"/standin/faults", struct {
		Leaving bool `json:"leaving"`
	}{true})
	y.until("no new work", func() bool {
		before := y.counts(leaving).Requests
		time.Sleep(500 * time.Millisecond)
		return y.counts(leaving).Requests == before
	})
	before := y.counts(leaving).Requests
	time.Sleep(2 * time.Second)
	y.c.Assert(y.counts(leaving).Requests, qt.Equals, before)
	reads.end(y.c)
}

// TestDeadInstanceLeavesLookUps kills an entry instance.
func TestDeadInstanceLeavesLookUps(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	y.daemons[1].signal(syscall.SIGKILL)
	y.until("the dead instance leaves look-ups", func() bool {
		answer, err := lookUp(y.entries[0].CallerAddress, "lookups")
		y.c.Assert(err, qt.IsNil)
		for _, i := range answer.Instances {
			if i.Instance == y.entries[1].Name {
				return false
			}
		}
		return true
	})
}

// TestPlatformDown checks that reads go on without the platform.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	y.put("http://"+y.platform+"/standin/faults", struct {
		Down bool `json:"down"`
	}{true})
	reads := y.startTraffic("lookups", http.MethodGet, 4)
	served := 0
	y.until("work", func() bool {
		served += reads.reset()["north-1"]
		return served > 100
	})
	reads.end(y.c)
	_, err := y.client.Class(context.Background(), "lookups")
	y.c.Assert(err, qt.IsNotNil)
}

// TestCommandLine runs the operators' program.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	y := newYard(t)
	good := filepath.Join(t.TempDir(), "class.json")
	y.c.Assert(os.WriteFile(good, []byte(`{"name": "statements", "service": "desk", "idempotent": true, "deadline": "2s",
		"match": [{"path-prefix": "/statements/"}], "target": {"cap": 0.1, "interval": "30s"}}`), 0o600), qt.IsNil)
	bad := filepath.Join(t.TempDir(), "bad.json")
	y.c.Assert(os.WriteFile(bad, []byte(`{"name": "statements", "weight": 1}`), 0o600), qt.IsNil)
	for _, test := range []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"check", []string{"class", "check", good}, 0, "well-formed"},
		{"check of a bad file", []string{"class", "check", bad}, 2, `unknown field "weight"`},
		{"put", []string{"class", "put", good}, 0, "accepted as version"},
		{"put under an old version", []string{"class", "put", good, "--version", "0"}, 3, "in force, at version"},
		{"show", []string{"class", "show", "statements"}, 0, `"interval": "30s"`},
		{"show of none", []string{"class", "show", "none"}, 4, "does not exist"},
		{"list", []string{"class", "list"}, 0, "lookups"},
		{"instances", []string{"instance", "list", "--output", "json"}, 0, `"instance": "north-2-entry-2"`},
		{"explain", []string{"explain", "--class", "lookups", "--client", "192.0.2.1"}, 0, "north-1"},
		{"status", []string{"status"}, 0, "TAKE WORK"},
		{"moves", []string{"move", "list", "--all"}, 0, "lookups"},
		{"drain with a bad time", []string{"site", "drain", "north-1", "--by", "soon"}, 2, "--by: a time such as"},
		{"drain of an unknown site", []string{"site", "drain", "south-1"}, 4, "not on the platform's list"},
		{"unknown flag", []string{"status", "--weight", "3"}, 2, "unknown flag --weight"},
		{"nobody answers", []string{"status", "--operator-address", "127.0.0.1:1"}, 1, "no operator address answered"},
	} {
		y.c.Run(test.name, func(c *qt.C) {
			args := append([]string{"--operator-address", y.entries[0].OperatorAddress}, test.args...)
			if test.name == "nobody answers" {
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

// TestSettingsAreChecked starts the daemon with wrong settings.
func TestSettingsAreChecked(t *testing.T) {
	good := []string{"--instance", "one", "--failure-domain", "a", "--region", "r", "--platform-address", "127.0.0.1:1"}
	for _, test := range []struct {
		name string
		args []string
		env  string
		out  string
	}{
		{"none", nil, "", "lovageyardd: --instance: a value is needed\n"},
		{"address", append(good, "--caller-address", "here"), "", "lovageyardd: --caller-address: \"here\" is not of the form host:port\n"},
		{"headroom", append(good, "--headroom", "2"), "", "lovageyardd: --headroom: 2 is not 0 to 0.9\n"},
		{"delays", append(good, "--same-region-delay", "1s"), "", "lovageyardd: --same-region-delay: not above --other-region-delay\n"},
		{"choice", append(good, "--choice", "best"), "", "lovageyardd: --choice: choice mode \"best\" is not known\n"},
		{"environment", good, "LOVAGEYARD_KEEP_FOR=-1s", "lovageyardd: --keep-for: -1s is not above 0s and at most 1h0m0s\n"},
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
