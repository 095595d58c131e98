package timer

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovageyard.example/lovageyard"
)

// Clock is the timer that uses the machine's clocks. It is safe for concurrent use.
type Clock struct{}

// Now returns the current wall-clock time, like time.Now.
func (Clock) Now() time.Time {
	return time.Now()
}

// Elapsed returns the time since the machine booted, including time during which it was suspended.
func (Clock) Elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(errors.Wrap(err, "read CLOCK_BOOTTIME"))
	}
	return time.Duration(now.Nano())
}

// Subscribe returns a ticker that ticks at an interval, until it is closed.
func (Clock) Subscribe(interval time.Duration) lovageyard.Ticker {
	return &clockTicker{ticker: time.NewTicker(interval)}
}

// After returns a ticker that ticks once, when d has passed.
func (Clock) After(d time.Duration) lovageyard.Ticker {
	return &clockTimer{timer: time.NewTimer(d)}
}

type clockTicker struct {
	ticker *time.Ticker
}

func (t *clockTicker) C() <-chan time.Time {
	return t.ticker.C
}

func (t *clockTicker) Close() {
	t.ticker.Stop()
}

type clockTimer struct {
	timer *time.Timer
}

func (t *clockTimer) C() <-chan time.Time {
	return t.timer.C
}

func (t *clockTimer) Close() {
	t.timer.Stop()
}
