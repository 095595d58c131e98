package main

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestIntervalsMatchRate(t *testing.T) {
	for _, arrivals := range []string{"fixed", "poisson"} {
		t.Run(arrivals, func(t *testing.T) {
			c := qt.New(t)
			l := &load{options: options{Arrivals: arrivals}}
			random := rand.New(rand.NewPCG(1, 1))
			sum := time.Duration(0)
			different := 0
			const count = 10000
			for range count {
				interval := l.interval(stream{rate: 100}, random)
				sum += interval
				if interval != 10*time.Millisecond {
					different++
				}
			}
			mean := sum / count
			c.Assert(mean > 9700*time.Microsecond && mean < 10300*time.Microsecond, qt.IsTrue, qt.Commentf("%s", mean))
			c.Assert(different > 0, qt.Equals, arrivals == "poisson")
		})
	}
}

func TestParseStream(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"lookups:GET:/lookups/:200:2000", ""},
		{"lookups:GET:/lookups/:200", `--stream: .* is not class:method:path:rate:bytes`},
		{"lookups:GET:/lookups/:fast:2000", `--stream: rate "fast" .*`},
		{"lookups:GET:/lookups/:200:-1", `--stream: bytes "-1" .*`},
	} {
		c := qt.New(t)
		_, err := parseStream(test.text)
		if test.want == "" {
			c.Assert(err, qt.IsNil)
			continue
		}
		c.Assert(err, qt.ErrorMatches, test.want)
	}
}

func TestNetworksMustBeLoopback(t *testing.T) {
	c := qt.New(t)
	_, err := parseNetworks([]string{"127.10.0.0/16"})
	c.Assert(err, qt.IsNil)
	for _, text := range []string{"10.0.0.0/8", "::1/128", "here"} {
		_, err := parseNetworks([]string{text})
		c.Assert(err, qt.ErrorMatches, "--network: .*")
	}
}
