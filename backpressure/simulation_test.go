package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
)

// Parameters of the simulation. effectiveAfter is how long after an instance first observed the
// limit its requests count against it.
const (
	step           = 50 * time.Millisecond
	steps          = 600
	window         = 4 * time.Second
	effectiveAfter = 500 * time.Millisecond
)

// simInstance is an instance that sends requests to a server with a rate limit.
type simInstance struct {
	record *Record
	// limitKnownAt is when the instance first observed the limit since its last restart; zero if it
	// has not.
	limitKnownAt time.Time
}

// newSimInstance returns the instance names[n], which does not know about the given number of other
// instances.
func newSimInstance(names []string, n, unknown int) *simInstance {
	known := slices.Clone(names)
	for i := range unknown {
		lost := names[(n+1+i*7)%len(names)]
		known = slices.DeleteFunc(known, func(name string) bool { return name == lost && name != names[n] })
	}
	return &simInstance{record: NewRecord(names[n], "server", known)}
}

// trySend sends a request if the record allows it, answered by a server with a rate limit, and
// reports whether the request counts against the limit.
func (s *simInstance) trySend(limit float64, now time.Time) bool {
	if !s.record.Allows(now) {
		return false
	}
	s.record.RecordSend(now)
	counts := !s.limitKnownAt.IsZero() && now.Sub(s.limitKnownAt) >= effectiveAfter
	s.record.Observe(lovageyard.Backpressure{Limited: true, Limit: limit}, now, now.Add(time.Millisecond))
	if s.limitKnownAt.IsZero() {
		s.limitKnownAt = now
	}
	return counts
}

// The limit must hold for all instances together although they are restarted, receive requests in
// bursts, and differ in which others they know.
func TestLimitHoldsInSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 80).Draw(t, "instances")
		limit := float64(rapid.IntRange(0, 200).Draw(t, "limit")) / 10
		restartEvery := rapid.IntRange(5, 200).Draw(t, "restart every")
		unknown := rapid.IntRange(0, count/10).Draw(t, "unknown")
		idle := rapid.IntRange(1, 150).Draw(t, "quiet")
		share := rapid.IntRange(1, 100).Draw(t, "share asked")
		var names []string
		for n := range count {
			names = append(names, fmt.Sprint("entry-", n))
		}
		instances := make([]*simInstance, count)
		for n := range count {
			instances[n] = newSimInstance(names, n, unknown)
		}
		start := time.Unix(1000, 0)
		var counted []time.Time
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			if i%restartEvery == 0 {
				n := i / restartEvery % count
				instances[n] = newSimInstance(names, n, unknown)
			}
			if i/idle%2 == 1 {
				continue
			}
			for n := range count {
				isActive := (n*31+i*17)%100 < share
				if isActive && instances[n].trySend(limit, now) && now.Sub(start) >= window {
					counted = append(counted, now)
				}
			}
			counted = slices.DeleteFunc(counted, func(at time.Time) bool { return now.Sub(at) > window })
			if allowed := 1.5*limit*window.Seconds() + 5; float64(len(counted)) > allowed {
				t.Fatalf("%d requests in %s, allowed %v", len(counted), window, allowed)
			}
		}
	})
}
