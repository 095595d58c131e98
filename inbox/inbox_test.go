package inbox_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/inbox"
)

// sum is the state of the tests.
type sum struct {
	total int
	seen  chan int
}

// number is a message that adds to the sum.
type number int

func (n number) Apply(s *sum) {
	s.total += int(n)
	s.seen <- s.total
}

// own starts the owner of a sum.
func own(b *inbox.Inbox[*sum]) *sum {
	s := &sum{seen: make(chan int)}
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
	s := own(b)
	for n := range 4 {
		c.Assert(b.Post(number(n+1)), qt.IsTrue)
	}
	for _, want := range []int{1, 3, 6, 10} {
		c.Assert(<-s.seen, qt.Equals, want)
	}
	b.Close()
	// There is room for one more only until the context ends.
	for b.Post(number(1)) {
	}
}

// begin is a message that begins two calls of one name.
type begin struct {
	inbox *inbox.Inbox[*sum]
	gate  chan struct{}
}

func (m begin) Apply(s *sum) {
	for range 2 {
		m.inbox.Call("slow", func(context.Context) inbox.Message[*sum] {
			<-m.gate
			return number(5)
		})
	}
	m.inbox.Call("without result", func(context.Context) inbox.Message[*sum] { return nil })
	if m.inbox.IsCalling("slow") {
		s.seen <- 0
	}
}

func TestOneCallOfANameAtATime(t *testing.T) {
	c := qt.New(t)
	b := inbox.New[*sum](4)
	s := own(b)
	first := begin{inbox: b, gate: make(chan struct{})}
	b.Post(first)
	c.Assert(<-s.seen, qt.Equals, 0)
	close(first.gate)
	c.Assert(<-s.seen, qt.Equals, 5)
	second := begin{inbox: b, gate: first.gate}
	b.Post(second)
	c.Assert(<-s.seen, qt.Equals, 0)
	c.Assert(<-s.seen, qt.Equals, 10)
	b.Close()
}

func TestCloseEndsAndAwaitsCalls(t *testing.T) {
	c := qt.New(t)
	b := inbox.New[*sum](1)
	own(b)
	ended := false
	b.Go(func() {
		<-b.Context().Done()
		ended = true
	})
	b.Close()
	c.Assert(ended, qt.IsTrue)
}
