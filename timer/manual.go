package timer

import (
	"sync"
	"time"

	"lovageyard.example/lovageyard"
)

// Manual is a timer whose time changes only when Advance is called. It is safe for concurrent use.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	suspended     time.Duration
	subscriptions []*manualTicker
}

// NewManual returns a Manual whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time that Advance has reached.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Elapsed returns the time since 1970 according to Now, plus all durations passed to Suspend.
func (m *Manual) Elapsed() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.now.UnixNano()) + m.suspended
}

// Suspend adds a duration to Elapsed but not to Now, like the suspension of a machine.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// Subscribe returns a ticker that ticks at an interval. Advance sends a single tick even if it passes several.
func (m *Manual) Subscribe(interval time.Duration) lovageyard.Ticker {
	return m.add(interval, interval)
}

// After returns a ticker that ticks once, when Advance has passed d.
func (m *Manual) After(d time.Duration) lovageyard.Ticker {
	return m.add(d, 0)
}

func (m *Manual) add(first, interval time.Duration) *manualTicker {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTicker{
		manual:   m,
		channel:  make(chan time.Time, 1),
		next:     m.now.Add(first),
		interval: interval,
	}
	m.subscriptions = append(m.subscriptions, t)
	return t
}

// Advance adds a duration to the time and sends the ticks that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, t := range m.subscriptions {
		t.deliver(m.now)
	}
}

// Subscriptions returns the number of tickers, of Subscribe and After, that have not been closed.
func (m *Manual) Subscriptions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.subscriptions)
}

func (m *Manual) remove(closed *manualTicker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := m.subscriptions[:0]
	for _, t := range m.subscriptions {
		if t != closed {
			kept = append(kept, t)
		}
	}
	m.subscriptions = kept
}

type manualTicker struct {
	manual   *Manual
	channel  chan time.Time
	next     time.Time
	interval time.Duration
	expired  bool
}

func (t *manualTicker) deliver(now time.Time) {
	if t.expired || now.Before(t.next) {
		return
	}
	select {
	case t.channel <- now:
	default:
	}
	if t.interval == 0 {
		t.expired = true
		return
	}
	for !now.Before(t.next) {
		t.next = t.next.Add(t.interval)
	}
}

func (t *manualTicker) C() <-chan time.Time {
	return t.channel
}

func (t *manualTicker) Close() {
	t.manual.remove(t)
}
