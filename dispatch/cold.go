package dispatch

import (
	"math"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
)

// coldWindow is the span in which sends to a cold server are counted: the second of the
// bound, and a margin for requests that are longer on their way than others.
const coldWindow = 1150 * time.Millisecond

// coldShare is the part of a cold server's bound that is given out, as views of the fleet differ.
const coldShare = 0.85

// ColdBound is what all instances together may send to a cold server.
type ColdBound struct {
	// Excess multiplies the rate that the server bears, and Slack is added, in requests a second.
	Excess float64
	Slack  float64
}

// coldGate counts this instance's sends to a cold server.
type coldGate struct {
	sends []time.Time
}

// allows says whether another send keeps within a limit for one window.
func (g *coldGate) allows(limit int, now time.Time) bool {
	g.sends = slices.DeleteFunc(g.sends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(g.sends) < limit
}

func (g *coldGate) note(now time.Time) {
	g.sends = append(g.sends, now)
}

// coldLimit returns how many requests an instance may send to a cold server in one window.
// If the bound has a place for every instance it is divided by their number; else only
// the instances that rank highest for the server send to it.
func coldLimit(bound ColdBound, service lovageyard.Service, server, self string, instances []string) int {
	total := int(math.Floor((service.ColdRate*bound.Excess + bound.Slack) * coldShare))
	count := max(1, len(instances))
	if total >= count {
		return total / count
	}
	if slices.Contains(instance.Rendezvous(instances, server, total), self) {
		return 1
	}
	return 0
}
