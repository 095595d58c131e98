package decision_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

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

func newLogger(out *stuck) (*logrus.Logger, *decision.Sink) {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	sink := decision.NewSink(out)
	sink.Attach(logger)
	return logger, sink
}

// answered writes the line of a request that went well.
func answered(l *logrus.Logger) {
	l.WithFields(logrus.Fields{"outcome": "answered", "status": 200, "filling": strings.Repeat("x", 1000)}).Info("request")
}

func TestSinkNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	c := qt.New(t)
	out := &stuck{open: make(chan struct{})}
	logger, sink := newLogger(out)
	const lines = 10_000
	for range lines {
		answered(logger)
	}
	// Room is left for what matters more.
	const refusals = 100
	for i := range refusals {
		logger.WithFields(logrus.Fields{"outcome": "refused", "status": 503, "number": i}).Info("request")
	}
	logger.WithField("table", "servers").Warn("platform lost")
	close(out.open)
	sink.Close()
	got := out.got.String()
	kept := strings.Count(got, `"outcome":"answered"`)
	c.Assert(kept > 100, qt.IsTrue)
	c.Assert(kept < lines, qt.IsTrue)
	c.Assert(strings.Count(got, `"outcome":"refused"`), qt.Equals, refusals)
	c.Assert(strings.Contains(got, "platform lost"), qt.IsTrue)
	c.Assert(sink.Dropped(), qt.Equals, decision.Dropped{Routine: int64(lines - kept)})
	c.Assert(told(c, got), qt.Equals, lines-kept)
}

// told returns how many routine lines the output says were dropped.
func told(c *qt.C, output string) int {
	sum := 0
	for _, found := range regexp.MustCompile(`"msg":"log lines dropped","routine":(\d+),"other":0`).FindAllStringSubmatch(output, -1) {
		count, err := strconv.Atoi(found[1])
		c.Assert(err, qt.IsNil)
		sum += count
	}
	return sum
}

func TestSinkBoundsAllLines(t *testing.T) {
	c := qt.New(t)
	out := &stuck{open: make(chan struct{})}
	logger, sink := newLogger(out)
	for range 10_000 {
		logger.WithField("filling", strings.Repeat("x", 1000)).Warn("a row is not understood")
	}
	c.Assert(sink.Dropped().Other > 0, qt.IsTrue)
	close(out.open)
	sink.Close()
	c.Assert(out.got.Len() < 2<<20, qt.IsTrue)
}

func TestSinkWritesAllOnClose(t *testing.T) {
	c := qt.New(t)
	out := &stuck{open: make(chan struct{})}
	close(out.open)
	logger, sink := newLogger(out)
	logger.Info("last")
	sink.Close()
	c.Assert(out.got.String(), qt.Contains, `"msg":"last"`)
}

// An instance that leaves ends also if nobody reads its output.
func TestSinkClosesWhileItsOutputIsStuck(_ *testing.T) {
	out := &stuck{open: make(chan struct{})}
	defer close(out.open)
	logger, sink := newLogger(out)
	logger.Info("last")
	sink.Close()
}
