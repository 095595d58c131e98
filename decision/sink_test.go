package decision_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/decision"
)

// stuck is an output that blocks until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestSinkNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	c := qt.New(t)
	out := &stuck{open: make(chan struct{})}
	sink := decision.NewSink(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 10_000
	for range lines {
		n, err := sink.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	close(out.open)
	sink.Close()
	kept := strings.Count(out.got.String(), "x\n")
	c.Assert(kept < lines, qt.IsTrue)
	c.Assert(kept > 1000, qt.IsTrue)
	c.Assert(out.got.String(), qt.Contains, "log lines dropped")
}

func TestSinkWritesAllOnClose(t *testing.T) {
	c := qt.New(t)
	out := &stuck{open: make(chan struct{})}
	close(out.open)
	sink := decision.NewSink(out)
	_, err := sink.Write([]byte("last\n"))
	c.Assert(err, qt.IsNil)
	sink.Close()
	c.Assert(out.got.String(), qt.Equals, "last\n")
}
