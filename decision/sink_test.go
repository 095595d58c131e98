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

// blockedWriter is an output that blocks until open is closed.
type blockedWriter struct {
	open    chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// newLogger returns a logger that writes to out through a sink, and the sink.
func newLogger(out *blockedWriter) (*logrus.Logger, *decision.Sink) {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	sink := decision.NewSink(out)
	sink.Attach(logger)
	return logger, sink
}

// logAnswered writes the line of a successful request.
func logAnswered(l *logrus.Logger) {
	l.WithFields(logrus.Fields{"outcome": "answered", "status": 200, "filling": strings.Repeat("x", 1000)}).Info("request")
}

func TestSinkNeverBlocksAndReportsDrops(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{open: make(chan struct{})}
	logger, sink := newLogger(out)
	const lines = 10_000
	for range lines {
		logAnswered(logger)
	}
	// Half of the buffer is left for lines that are not routine.
	const refusals = 100
	for i := range refusals {
		logger.WithFields(logrus.Fields{"outcome": "refused", "status": 503, "number": i}).Info("request")
	}
	logger.WithField("table", "servers").Warn("platform lost")
	close(out.open)
	sink.Close()
	written := out.written.String()
	answeredLines := strings.Count(written, `"outcome":"answered"`)
	c.Assert(answeredLines > 100, qt.IsTrue)
	c.Assert(answeredLines < lines, qt.IsTrue)
	c.Assert(strings.Count(written, `"outcome":"refused"`), qt.Equals, refusals)
	c.Assert(strings.Contains(written, "platform lost"), qt.IsTrue)
	c.Assert(sink.Dropped(), qt.Equals, decision.Dropped{Routine: int64(lines - answeredLines)})
	c.Assert(reportedDrops(c, written), qt.Equals, lines-answeredLines)
}

// reportedDrops returns how many routine lines the output reports as dropped.
func reportedDrops(c *qt.C, output string) int {
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
	out := &blockedWriter{open: make(chan struct{})}
	logger, sink := newLogger(out)
	for range 10_000 {
		logger.WithField("filling", strings.Repeat("x", 1000)).Warn("a row is not understood")
	}
	c.Assert(sink.Dropped().Other > 0, qt.IsTrue)
	close(out.open)
	sink.Close()
	c.Assert(out.written.Len() < 2<<20, qt.IsTrue)
}

func TestSinkWritesAllOnClose(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{open: make(chan struct{})}
	close(out.open)
	logger, sink := newLogger(out)
	logger.Info("last")
	sink.Close()
	c.Assert(out.written.String(), qt.Contains, `"msg":"last"`)
}

// A leaving instance exits even if nothing reads its output.
func TestSinkClosesWhileOutputIsBlocked(_ *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	defer close(out.open)
	logger, sink := newLogger(out)
	logger.Info("last")
	sink.Close()
}
