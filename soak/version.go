package main

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// While versions are replaced, configuration changes come in bursts. The pause between bursts is longer than
// applyBound, so that a change that one instance has lost is detected.
const (
	changeInterval  = 700 * time.Millisecond
	changeBurstTime = 3 * time.Second
	calmTime        = applyBound + 2*time.Second
)

// buildPrevious builds the daemon of an older commit of this repository into a directory and returns its path.
func buildPrevious(dir, commit string) (string, error) {
	tree := filepath.Join(dir, "before")
	if err := os.MkdirAll(tree, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "before.tar")
	for _, command := range [][]string{
		{"git", "-C", "..", "archive", "--output", archive, commit},
		{"tar", "-x", "-f", archive, "-C", tree},
	} {
		if out, err := exec.Command(command[0], command[1:]...).CombinedOutput(); err != nil {
			return "", errors.Errorf("%s of %s: %v: %s", command[0], commit, err, out)
		}
	}
	return buildIn(filepath.Join(tree, "lovageyardd"), filepath.Join(dir, "lovageyardd-before"))
}

// replaceVersions replaces all instances one by one by the other version, and then back again.
func (d *deployment) replaceVersions() error {
	for range 2 {
		for _, i := range d.instances {
			i.signal(syscall.SIGTERM)
			i.switchVersion()
			if err := d.restart(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// switchVersion makes the next incarnation of an instance run the other version.
func (i *instance) switchVersion() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.program, i.otherProgram = i.otherProgram, i.program
}

// versionPlan returns a plan with the replacement of all instances and with bursts of configuration changes.
// The first change of each burst is large. There are no faults, since the older version is not under test.
func versionPlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, versionStream))
	plan := []fault{{At: time.Second, Kind: replaceVersions, Duration: span - time.Second}}
	for burstStart := time.Second; burstStart < span; burstStart += changeBurstTime + calmTime {
		plan = append(plan, fault{At: burstStart, Kind: largeConfiguration})
		for at := burstStart + changeInterval; at < min(span, burstStart+changeBurstTime); at += changeInterval/2 + time.Duration(random.Int64N(int64(changeInterval))) {
			plan = append(plan, fault{At: at, Kind: configure})
		}
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}
