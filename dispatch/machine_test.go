package dispatch_test

import (
	"math/rand/v2"
	"sort"
	"time"
)

// machine is a server's machine, which other workloads slow down at times.
type machine struct {
	slowPeriods []period
	slowPace    float64
}

// period is a time span.
type period struct{ from, to time.Time }

// newMachine returns a machine that is slow for a share of the time.
func newMachine(l workload, random *rand.Rand) machine {
	m := machine{slowPace: l.slowPace}
	if l.slowShare == 0 {
		return m
	}
	length := func(mean float64) time.Duration { return time.Duration(random.ExpFloat64() * mean) }
	slow := float64(l.slowLength)
	usual := slow * (1 - l.slowShare) / l.slowShare
	for at := start.Add(length(usual)); at.Before(start.Add(2 * l.duration)); {
		end := at.Add(length(slow))
		m.slowPeriods = append(m.slowPeriods, period{at, end})
		at = end.Add(length(usual))
	}
	return m
}

// nextSlowPeriod returns the current or next slow period.
func (m machine) nextSlowPeriod(now time.Time) (period, bool) {
	i := sort.Search(len(m.slowPeriods), func(i int) bool { return m.slowPeriods[i].to.After(now) })
	if i == len(m.slowPeriods) {
		return period{}, false
	}
	return m.slowPeriods[i], true
}

// pace returns the factor by which the machine is currently slowed down.
func (m machine) pace(now time.Time) float64 {
	if p, found := m.nextSlowPeriod(now); found && !p.from.After(now) {
		return m.slowPace
	}
	return 1
}

// finish returns when work ends that starts now, given the time that it takes at the usual pace.
func (m machine) finish(now time.Time, left time.Duration) time.Time {
	for {
		p, found := m.nextSlowPeriod(now)
		if !found || now.Add(left).Before(p.from) {
			return now.Add(left)
		}
		if now.Before(p.from) {
			left -= p.from.Sub(now)
			now = p.from
		}
		done := time.Duration(float64(p.to.Sub(now)) / m.slowPace)
		if left < done {
			return now.Add(time.Duration(float64(left) * m.slowPace))
		}
		left -= done
		now = p.to
	}
}
