package timer

import (
	"sync"
	"time"

	"lovageyard.example/lovageyard"
)

// Manual is a timer service whose time moves only when Advance is called.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	suspended     time.Duration
	subscriptions []*manualTicks
}

// NewManual returns a Manual that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time that the service stands at.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Elapsed returns the time since 1970 by this service, and the time for which Suspend stopped it.
func (m *Manual) Elapsed() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.now.UnixNano()) + m.suspended
}

// Suspend lets time pass that Now does not count, as on a machine that sleeps.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// Subscribe delivers a tick for each multiple of the span that Advance passes.
func (m *Manual) Subscribe(every time.Duration) lovageyard.Ticker {
	return m.add(every, every)
}

// After delivers one tick when Advance has passed d.
func (m *Manual) After(d time.Duration) lovageyard.Ticker {
	return m.add(d, 0)
}

func (m *Manual) add(first, every time.Duration) *manualTicks {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTicks{
		service: m,
		channel: make(chan time.Time, 1),
		next:    m.now.Add(first),
		every:   every,
	}
	m.subscriptions = append(m.subscriptions, t)
	return t
}

// Advance moves the time on and delivers the ticks that fall due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, t := range m.subscriptions {
		t.deliver(m.now)
	}
}

// Subscriptions returns how many subscriptions are open.
func (m *Manual) Subscriptions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.subscriptions)
}

func (m *Manual) remove(gone *manualTicks) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := m.subscriptions[:0]
	for _, t := range m.subscriptions {
		if t != gone {
			kept = append(kept, t)
		}
	}
	m.subscriptions = kept
}

type manualTicks struct {
	service *Manual
	channel chan time.Time
	next    time.Time
	every   time.Duration
	spent   bool
}

func (t *manualTicks) deliver(now time.Time) {
	if t.spent || now.Before(t.next) {
		return
	}
	select {
	case t.channel <- now:
	default:
	}
	if t.every == 0 {
		t.spent = true
		return
	}
	for !now.Before(t.next) {
		t.next = t.next.Add(t.every)
	}
}

func (t *manualTicks) C() <-chan time.Time {
	return t.channel
}

func (t *manualTicks) Close() {
	t.service.remove(t)
}
