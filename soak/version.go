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

// Changes while versions are replaced come in storms, with calm between that is longer than a change may
// take, so that a change which is lost on one instance shows.
const (
	stormEvery = 700 * time.Millisecond
	stormFor   = 3 * time.Second
	calmFor    = applyBound + 2*time.Second
)

// buildBefore builds the daemon of an older commit of this repository into a directory and returns its path.
func buildBefore(dir, commit string) (string, error) {
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

// replaceVersions replaces all instances in turn by the other version, and goes back again.
func (y *yard) replaceVersions() error {
	for range 2 {
		for _, i := range y.instances {
			i.signal(syscall.SIGTERM)
			i.turn()
			if err := y.restart(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// turn makes the next life of an instance one of the other version.
func (i *instance) turn() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.program, i.other = i.other, i.program
}

// versionPlan is the replacement of all instances under storms of changes, some of them large. There are
// no faults besides: those of the older version are none of this one's.
func versionPlan(seed uint64, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, versionStream))
	plan := []fault{{At: time.Second, Kind: replaceVersions, For: span - time.Second}}
	for storm := time.Second; storm < span; storm += stormFor + calmFor {
		plan = append(plan, fault{At: storm, Kind: largeConfiguration})
		for at := storm + stormEvery; at < min(span, storm+stormFor); at += stormEvery/2 + time.Duration(random.Int64N(int64(stormEvery))) {
			plan = append(plan, fault{At: at, Kind: configure})
		}
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.At - b.At) })
	return plan
}
