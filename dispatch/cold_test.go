package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// A cold server must not get more requests in any second than all instances together may send, although the
// instances are restarted within that second and do not know what their previous incarnations have sent.
func TestColdBoundHoldsOverRestarts(t *testing.T) {
	for _, period := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		for _, atOnce := range []bool{true, false} {
			t.Run(fmt.Sprint(period, " at once: ", atOnce), func(t *testing.T) {
				m := newFleetModel(1, 11)
				m.addColdServer(9.1)
				for _, i := range m.instances {
					m.start(i)
				}
				sends := m.sendToColdServer(t, period, atOnce)
				second := int(time.Second / restartStep)
				allowed := m.cold.Excess*9.1 + m.cold.Slack
				total := 0
				for end := range sends {
					total += sends[end]
					sum := sumOfWindow(sends, end, second)
					qt.Assert(t, float64(sum) <= allowed, qt.IsTrue, qt.Commentf("%d in the second up to %s, allowed %.1f", sum, time.Duration(end)*restartStep, allowed))
				}
				if period >= 2*time.Second {
					qt.Assert(t, total > 0, qt.IsTrue)
				}
			})
		}
	}
}

// addColdServer adds a server to the service that stays cold.
func (m *fleetModel) addColdServer(rate float64) {
	m.cold = dispatch.ColdBound{Excess: 1.5, Slack: 5}
	m.snapshot.Configuration.Services["desk"] = lovageyard.Service{Name: "desk", ColdRate: rate}
	m.snapshot.Servers = []catalog.Server{{
		BackendServer: lovageyard.BackendServer{Name: "s", Service: "desk", Slots: 8, State: lovageyard.StateLive},
		ColdUntil:     m.now.Add(time.Hour),
	}}
}

// sendToColdServer returns the requests that reach the cold server in each step, while each instance gets 20 a
// second. Instances are killed after each period, all at once or in turn, and start again 100 ms later.
func (m *fleetModel) sendToColdServer(t *testing.T, period time.Duration, atOnce bool) []int {
	var sends []int
	for at := time.Duration(0); at < 30*time.Second; at += restartStep {
		m.now = m.now.Add(restartStep)
		for n, i := range m.instances {
			offset := time.Duration(0)
			if !atOnce {
				offset = time.Duration(n) * period / time.Duration(len(m.instances)) / restartStep * restartStep
			}
			switch (at + offset) % period {
			case 0:
				i.table = nil
			case 100 * time.Millisecond:
				m.start(i)
			}
		}
		sent := 0
		for _, i := range m.instances {
			if i.table == nil || m.random.Float64() > 20*restartStep.Seconds() {
				continue
			}
			choice := i.table.Choose(dispatch.Request{Now: m.now, Route: &m.route, Service: "desk", Deadline: m.now.Add(time.Minute)})
			if choice.Refused {
				continue
			}
			qt.Assert(t, choice.Cold, qt.IsTrue)
			i.table.Done(choice, dispatch.Outcome{At: m.now, Answered: true})
			sent++
		}
		sends = append(sends, sent)
	}
	return sends
}

// A request that is sent to a cold server once more, on a new connection, counts as one more request to it.
func TestResendsCountAgainstTheColdBound(t *testing.T) {
	c := qt.New(t)
	m := newFleetModel(1, 1)
	m.addColdServer(2)
	m.start(m.instances[0])
	m.now = m.now.Add(10 * time.Second)
	table := m.instances[0].table
	sent := 0
	for range 20 {
		choice := table.Choose(dispatch.Request{Now: m.now, Route: &m.route, Service: "desk", Deadline: m.now.Add(time.Minute)})
		if choice.Refused {
			break
		}
		sent++
		if table.TakeResend(choice, m.now) {
			sent++
		}
		table.Done(choice, dispatch.Outcome{At: m.now, Answered: true})
	}
	c.Assert(sent > 0, qt.IsTrue)
	c.Assert(float64(sent) <= 2*m.cold.Excess+m.cold.Slack, qt.IsTrue, qt.Commentf("%d requests in an instant", sent))
}
