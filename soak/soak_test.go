package main

import (
	"cmp"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// defaultSeed is the seed of tests that need no particular one.
const defaultSeed = 1

// readSeeds reads a file of seeds that once failed, one a line, each followed by the cause.
func readSeeds(c *qt.C, path string) []uint64 {
	text, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	var seeds []uint64
	for _, line := range strings.Split(string(text), "\n") {
		number, _, _ := strings.Cut(line, " ")
		if number == "" || number == "#" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		c.Assert(err, qt.IsNil)
		seeds = append(seeds, seed)
	}
	return seeds
}

// A short run with the base plan, and the runs with it that once failed.
func TestSeedsRunWithoutViolations(t *testing.T) {
	testSeeds(t, options{}, append(readSeeds(qt.New(t), "seeds.txt"), defaultSeed))
}

// Runs with servers that restart under the same name, foreign entries, large configurations and narrow links,
// which once failed.
func TestFurtherSeedsRunWithoutViolations(t *testing.T) {
	testSeeds(t, options{Further: true}, readSeeds(qt.New(t), "seeds-further.txt"))
}

// A run with poison requests together with the faults of the base plan.
func TestPoisonSeedRunsWithoutViolations(t *testing.T) {
	testSeeds(t, options{Deadly: true}, []uint64{defaultSeed})
}

// The store stops answering for a short time while all instances have a pending call that waits for changes.
// These calls are never answered. Instances that only wait for them, instead of sending new ones, receive no
// change for 21 s: "platform lost: store: no progress for 21.2s, after 0 bytes of the answer", "entry-1/1
// does not apply version 18 10.14s after it was accepted".
func TestConfigurationIsAppliedSoonAfterStoreOutage(t *testing.T) {
	o := options{Further: true, Deadly: true, Instances: 6, Servers: 10, Callers: 16, Span: 14 * time.Second}
	testSeeds(t, o, []uint64{7123})
}

// Runs in which the store is restored from older copies, together with the faults of the base plan, which once
// failed.
func TestRestoreSeedsRunWithoutViolations(t *testing.T) {
	testSeeds(t, options{Restores: true, Span: 12 * time.Second}, readSeeds(qt.New(t), "seeds-restores.txt"))
}

// A run with servers that announce rate limits, request a backoff, or announce only in their answers that they
// are leaving.
func TestBackpressureSeedRunsWithoutViolations(t *testing.T) {
	testSeeds(t, options{Backpressure: true, Span: 12 * time.Second}, []uint64{3})
}

// A run in which instances are killed in series while servers reject requests: an incarnation does not know what the
// one before it has spent of the limits on retries and cold servers.
func TestRestartSeedRunsWithoutViolations(t *testing.T) {
	testSeeds(t, options{Restarts: true, Span: 16 * time.Second}, []uint64{defaultSeed})
}

// A run of bursts and changes of the configuration, in which servers refuse requests and no region's requests may
// move.
func TestShiftSeedRunsWithoutViolations(t *testing.T) {
	o := options{Shifts: true, Callers: 48, Span: 9 * time.Second}
	testSeeds(t, o, []uint64{defaultSeed})
}

// previousVersion is the commit of the version that is replaced by the current one.
const previousVersion = "d137270"

// Instances are replaced one by one by the current version, and then back by the previous one, while the
// configuration changes. No change may be lost, late or reverted, and no request cut.
func TestRollingVersionReplacementRunsWithoutViolations(t *testing.T) {
	testSeeds(t, options{Before: previousVersion, Instances: 3, Span: 21 * time.Second}, []uint64{defaultSeed})
}

// testSeeds runs seeds and fails the test on a violation or a harness error. Unset options get values for a
// short run.
func testSeeds(t *testing.T, o options, seeds []uint64) {
	c := qt.New(t)
	p, err := buildPrograms(c.TempDir(), o.Before)
	c.Assert(err, qt.IsNil)
	o.Span, o.Instances = cmp.Or(o.Span, 5*time.Second), cmp.Or(o.Instances, 4)
	o.Servers, o.Callers, o.Out = cmp.Or(o.Servers, 6), cmp.Or(o.Callers, 8), c.TempDir()
	for _, seed := range seeds {
		r, err := runSeed(o, p, seed)
		c.Assert(err, qt.IsNil)
		c.Assert(r.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		c.Assert(r.harnessErrors, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		c.Assert(r.counts["200"]+r.counts["status 200"] > 100, qt.IsTrue)
	}
}
