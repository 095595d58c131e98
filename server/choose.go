package server

import (
	"time"

	"github.com/pkg/errors"
)

// Mode is a way to choose a backend server.
type Mode string

// The ways to choose a server; Random, RoundRobin and LeastInFlight are baselines.
const (
	// Random takes any server.
	Random Mode = "random"
	// RoundRobin takes the servers in turn.
	RoundRobin Mode = "round-robin"
	// LeastInFlight takes the server with the fewest requests of this instance.
	LeastInFlight Mode = "least-in-flight"
	// Split keeps to an even share of each server's slots.
	Split Mode = "split"
	// TwoChoices takes the less loaded of two servers, by own and reported load.
	TwoChoices Mode = "two-choices"
	// Shared keeps to the even share and borrows slots that reports show to be free.
	Shared Mode = "shared"
)

// Modes lists the ways to choose a server.
func Modes() []Mode {
	return []Mode{Shared, TwoChoices, Split, LeastInFlight, RoundRobin, Random}
}

// ParseMode returns the mode of a name.
func ParseMode(name string) (Mode, error) {
	for _, m := range Modes() {
		if string(m) == name {
			return m, nil
		}
	}
	return "", errors.Errorf("choice mode %q is not known", name)
}

// choose returns the server that a request goes to now, or nil.
func (p *Pool) choose(r Request) *member {
	switch p.settings.Mode {
	case Random:
		return p.chooseRandom(r)
	case RoundRobin:
		return p.chooseInTurn(r)
	case TwoChoices:
		return p.chooseOfTwo(r)
	case LeastInFlight:
		return p.chooseLeast(r, func(m *member) bool { return m.inFlight < m.limit() }, ownLoad)
	case Split:
		return p.chooseLeast(r, func(m *member) bool { return m.inFlight < p.floor(m) }, ownLoad)
	}
	open := func(m *member) bool {
		return m.inFlight < p.floor(m) || m.inFlight < m.limit() && m.load(r.Now)+1 <= float64(m.slots)+m.spill()
	}
	return p.chooseLeast(r, open, relativeLoad)
}

// floor returns the even share of a server's slots that this instance may always use.
func (p *Pool) floor(m *member) int {
	return min(m.limit(), max(1, m.slots/p.settings.Instances))
}

func ownLoad(m *member, _ time.Time) float64 {
	return float64(m.inFlight)
}

// relativeLoad is the expected wait at a server: its load by slot, times its answer time.
func relativeLoad(m *member, now time.Time) float64 {
	load := (m.load(now) + 1) / float64(m.slots)
	return load * (float64(m.mean) + float64(time.Millisecond))
}

// chooseLeast returns the open server of the least load; ties are broken at random.
func (p *Pool) chooseLeast(r Request, open func(*member) bool, load func(*member, time.Time) float64) *member {
	var best *member
	var least float64
	ties := 0
	for _, m := range p.members {
		if !m.takesWork() || !open(m) || p.avoids(r, m) {
			continue
		}
		l := load(m, r.Now)
		switch {
		case best == nil || l < least:
			best, least, ties = m, l, 1
		case l == least:
			ties++
			if p.random.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

// avoids says whether a request is kept from a server that it has failed at; the only
// server that is left is not avoided.
func (p *Pool) avoids(r Request, m *member) bool {
	return m.Name == r.Avoid && p.takers() > 1
}

func (p *Pool) chooseRandom(r Request) *member {
	start := p.random.IntN(max(1, len(p.members)))
	return p.firstOpen(r, start)
}

func (p *Pool) chooseInTurn(r Request) *member {
	p.next++
	return p.firstOpen(r, p.next)
}

// firstOpen returns the first server from a position on that takes work.
func (p *Pool) firstOpen(r Request, start int) *member {
	for i := range p.members {
		m := p.members[(start+i)%len(p.members)]
		if m.takesWork() && !p.avoids(r, m) {
			return m
		}
	}
	return nil
}

func (p *Pool) chooseOfTwo(r Request) *member {
	first := p.chooseRandom(r)
	second := p.chooseRandom(r)
	if first == nil {
		return nil
	}
	better := first
	if relativeLoad(second, r.Now) < relativeLoad(first, r.Now) {
		better = second
	}
	if better.inFlight >= better.limit() {
		return nil
	}
	return better
}
