package server

import (
	"time"

	"github.com/pkg/errors"
)

// Mode is a load balancing algorithm.
type Mode string

// The load balancing algorithms; Random, RoundRobin and LeastInFlight are baselines.
const (
	// Random chooses any server.
	Random Mode = "random"
	// RoundRobin chooses the servers in turn.
	RoundRobin Mode = "round-robin"
	// LeastInFlight chooses the server with the fewest requests of this instance.
	LeastInFlight Mode = "least-in-flight"
	// Split uses at most an equal share of each server's slots.
	Split Mode = "split"
	// TwoChoices chooses the less loaded of two random servers, by own requests and load reports.
	TwoChoices Mode = "two-choices"
	// Shared uses an equal share of each server's slots, and further slots that load reports show
	// to be free.
	Shared Mode = "shared"
)

// Modes returns all modes, the default first.
func Modes() []Mode {
	return []Mode{Shared, TwoChoices, Split, LeastInFlight, RoundRobin, Random}
}

// ParseMode returns the mode with a name, or an error if the name is unknown.
func ParseMode(name string) (Mode, error) {
	for _, m := range Modes() {
		if string(m) == name {
			return m, nil
		}
	}
	return "", errors.Errorf("choice mode %q is not known", name)
}

// choose returns the server that gets a request now, or nil if none can take it.
func (p *Pool) choose(r Request) *backend {
	switch p.settings.Mode {
	case Random:
		return p.chooseRandom(r)
	case RoundRobin:
		return p.chooseRoundRobin(r)
	case TwoChoices:
		return p.chooseTwoChoices(r)
	case LeastInFlight:
		return p.chooseLeast(r, func(be *backend) bool { return be.inFlight < be.limit() }, inFlightLoad)
	case Split:
		return p.chooseLeast(r, func(be *backend) bool { return be.inFlight < p.guaranteedSlots(be) }, inFlightLoad)
	}
	hasRoom := func(be *backend) bool {
		return be.inFlight < p.guaranteedSlots(be) || be.inFlight < be.limit() && be.load(r.Now)+1 <= float64(be.slots)+be.overcommit()
	}
	return p.chooseLeast(r, hasRoom, relativeLoad)
}

// guaranteedSlots returns the equal share of a server's slots that this instance may always use.
func (p *Pool) guaranteedSlots(be *backend) int {
	return min(be.limit(), max(1, be.slots/p.settings.Instances))
}

func inFlightLoad(be *backend, _ time.Time) float64 {
	return float64(be.inFlight)
}

// relativeLoad estimates the wait at a server: its load per slot times its mean response time.
func relativeLoad(be *backend, now time.Time) float64 {
	load := (be.load(now) + 1) / float64(be.slots)
	return load * (float64(be.meanDuration) + float64(time.Millisecond))
}

// chooseLeast returns the available server with room that has the least load; ties are broken at
// random.
func (p *Pool) chooseLeast(r Request, hasRoom func(*backend) bool, load func(*backend, time.Time) float64) *backend {
	var best *backend
	var least float64
	ties := 0
	for _, be := range p.backends {
		if !be.isAvailable() || !hasRoom(be) || p.shouldAvoid(r, be) {
			continue
		}
		l := load(be, r.Now)
		switch {
		case best == nil || l < least:
			best, least, ties = be, l, 1
		case l == least:
			ties++
			if p.random.IntN(ties) == 0 {
				best = be
			}
		}
	}
	return best
}

// shouldAvoid reports whether a request must not go to a server because an earlier attempt failed
// there. The only available server is not avoided.
func (p *Pool) shouldAvoid(r Request, be *backend) bool {
	return be.Name == r.Avoid && p.available() > 1
}

func (p *Pool) chooseRandom(r Request) *backend {
	start := p.random.IntN(max(1, len(p.backends)))
	return p.firstAvailable(r, start)
}

func (p *Pool) chooseRoundRobin(r Request) *backend {
	p.nextIndex++
	return p.firstAvailable(r, p.nextIndex)
}

// firstAvailable returns the first available server from an index on, whether or not it has room.
func (p *Pool) firstAvailable(r Request, start int) *backend {
	for i := range p.backends {
		be := p.backends[(start+i)%len(p.backends)]
		if be.isAvailable() && !p.shouldAvoid(r, be) {
			return be
		}
	}
	return nil
}

func (p *Pool) chooseTwoChoices(r Request) *backend {
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
