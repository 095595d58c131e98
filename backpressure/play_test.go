package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
)

// Times of a play.
const (
	step      = 50 * time.Millisecond
	steps     = 600
	window    = 4 * time.Second
	toldAfter = 500 * time.Millisecond
)

// member is an instance of a play.
type member struct {
	record *Record
	// toldAt is when its present life was told of the limit; zero if it was not.
	toldAt time.Time
}

// newMember returns an instance that knows all others but some.
func newMember(names []string, n, unknown int) *member {
	known := slices.Clone(names)
	for i := range unknown {
		lost := names[(n+1+i*7)%len(names)]
		known = slices.DeleteFunc(known, func(name string) bool { return name == lost && name != names[n] })
	}
	return &member{record: NewRecord(names[n], "server", known)}
}

// ask has the instance send a request if it may, answered by a server that names a limit, and says whether the request
// counts for the limit.
func (m *member) ask(limit float64, now time.Time) bool {
	if !m.record.Allows(now) {
		return false
	}
	m.record.RecordSend(now)
	counts := !m.toldAt.IsZero() && now.Sub(m.toldAt) >= toldAfter
	m.record.Observe(lovageyard.Backpressure{Limited: true, Limit: limit}, now, now.Add(time.Millisecond))
	if m.toldAt.IsZero() {
		m.toldAt = now
	}
	return counts
}

// Instances that are restarted, are asked in waves, and differ in which of them they know keep a limit together.
func TestLimitHoldsInRandomPlay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 80).Draw(t, "instances")
		limit := float64(rapid.IntRange(0, 200).Draw(t, "limit")) / 10
		restartEvery := rapid.IntRange(5, 200).Draw(t, "restart every")
		unknown := rapid.IntRange(0, count/10).Draw(t, "unknown")
		quiet := rapid.IntRange(1, 150).Draw(t, "quiet")
		share := rapid.IntRange(1, 100).Draw(t, "share asked")
		var names []string
		for n := range count {
			names = append(names, fmt.Sprint("entry-", n))
		}
		members := make([]*member, count)
		for n := range count {
			members[n] = newMember(names, n, unknown)
		}
		named := time.Unix(1000, 0)
		var counted []time.Time
		for i := range steps {
			now := named.Add(time.Duration(i) * step)
			if i%restartEvery == 0 {
				n := i / restartEvery % count
				members[n] = newMember(names, n, unknown)
			}
			if i/quiet%2 == 1 {
				continue
			}
			for n := range count {
				isAsked := (n*31+i*17)%100 < share
				if isAsked && members[n].ask(limit, now) && now.Sub(named) >= window {
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
