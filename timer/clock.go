package timer

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovageyard.example/lovageyard"
)

// Clock is the timer service that follows the machine's clock.
type Clock struct{}

// Now returns the present time.
func (Clock) Now() time.Time {
	return time.Now()
}

// Elapsed returns the time since the machine's start, that included in which it was suspended.
func (Clock) Elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(errors.Wrap(err, "a clock that every kernel has"))
	}
	return time.Duration(now.Nano())
}

// Subscribe delivers a tick each time the span has passed.
func (Clock) Subscribe(every time.Duration) lovageyard.Ticker {
	return &clockTicks{ticker: time.NewTicker(every)}
}

// After delivers one tick when d has passed.
func (Clock) After(d time.Duration) lovageyard.Ticker {
	return &clockTimer{timer: time.NewTimer(d)}
}

type clockTicks struct {
	ticker *time.Ticker
}

func (t *clockTicks) C() <-chan time.Time {
	return t.ticker.C
}

func (t *clockTicks) Close() {
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
