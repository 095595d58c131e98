package dispatch_test

import (
	"fmt"
	"hash/crc32"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/dispatch"
)

// Services whose requests have one rank and no accounts must get the same choices as before ranks and accounts were
// considered, also in an overload. The digests are those of the earlier choices.
func TestChoicesOfOneRankStayTheSame(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures may round differently")
	}
	for _, test := range []struct {
		name   string
		load   workload
		factor float64
		digest uint32
	}{
		{"statements", statements, 1, 2170193794},
		{"statements in an overload", statements, 3, 1408165448},
		{"desks in an overload", desks, 4, 2602077193},
		{"desks without keys", withoutKeys(desks), 1.5, 3707305597},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := test.load
			l.rate *= test.factor
			l.duration = 15 * time.Second
			l.clientsReturn = true
			m := newSimulation(l)
			digest := crc32.NewIEEE()
			m.observe = func(c dispatch.Choice) {
				fmt.Fprintln(digest, c.Server.Name, c.Rule, c.Cause, c.Reason, c.RetryAfter, c.Expected, c.Wait)
			}
			m.run(chooseByTable(m))
			qt.Check(t, digest.Sum32(), qt.Equals, test.digest)
		})
	}
}
