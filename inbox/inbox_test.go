package inbox_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/inbox"
)

// sum is the owner's state in the tests; totals receives the total after each message.
type sum struct {
	total  int
	totals chan int
}

// number is a message that adds itself to the sum.
type number int

func (n number) Apply(s *sum) {
	s.total += int(n)
	s.totals <- s.total
}

// startOwner starts the goroutine that owns a sum, and returns the sum.
func startOwner(b *inbox.Inbox[*sum]) *sum {
	s := &sum{totals: make(chan int)}
	b.Start(func() {
		for {
			select {
			case m := <-b.Messages():
				m.Apply(s)
			case <-b.Context().Done():
				return
			}
		}
	})
	return s
}

func TestMessagesAreAppliedInOrder(t *testing.T) {
	c := qt.New(t)
	b := inbox.New[*sum](4)
	s := startOwner(b)
	for n := range 4 {
		c.Assert(b.Post(number(n+1)), qt.IsTrue)
	}
	for _, want := range []int{1, 3, 6, 10} {
		c.Assert(<-s.totals, qt.Equals, want)
	}
	b.Close()
	// Post must fail once the context is cancelled, at the latest when the buffer is full.
	for b.Post(number(1)) {
	}
}

// startCalls is a message that starts two calls with the same name. They return once release is closed.
type startCalls struct {
	inbox   *inbox.Inbox[*sum]
	release chan struct{}
}

func (m startCalls) Apply(s *sum) {
	for range 2 {
		m.inbox.Call("slow", func(context.Context) inbox.Message[*sum] {
			<-m.release
			return number(5)
		})
	}
	m.inbox.Call("without result", func(context.Context) inbox.Message[*sum] { return nil })
	if m.inbox.IsCalling("slow") {
		s.totals <- 0
	}
}

func TestOnlyOneCallOfANameRuns(t *testing.T) {
	c := qt.New(t)
	b := inbox.New[*sum](4)
	s := startOwner(b)
	first := startCalls{inbox: b, release: make(chan struct{})}
	b.Post(first)
	c.Assert(<-s.totals, qt.Equals, 0)
	close(first.release)
	c.Assert(<-s.totals, qt.Equals, 5)
	second := startCalls{inbox: b, release: first.release}
	b.Post(second)
	c.Assert(<-s.totals, qt.Equals, 0)
	c.Assert(<-s.totals, qt.Equals, 10)
	b.Close()
}

func TestCloseCancelsAndAwaitsCalls(t *testing.T) {
	c := qt.New(t)
	b := inbox.New[*sum](1)
	startOwner(b)
	cancelled := false
	b.Go(func() {
		<-b.Context().Done()
		cancelled = true
	})
	b.Close()
	c.Assert(cancelled, qt.IsTrue)
}
