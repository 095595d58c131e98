package decision

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Limits of a Sink.
const (
	// maxPending is the size in bytes of the lines that wait to be written; routine lines
	// get half of it.
	maxPending = 1 << 20
	// maxRate bounds what is written, in bytes a second; routine lines get half of it. A line
	// has about 450 bytes, so that an instance with 100 requests a second writes 45,000.
	maxRate = 1 << 20
	// flushEvery gathers lines, as each write costs a system call.
	flushEvery = 100 * time.Millisecond
	// closeWithin bounds the last write, so that a stuck output does not keep an instance
	// from ending in time: it has 7% of 6 s left then.
	closeWithin = 200 * time.Millisecond
)

// Fields that tell a routine line from others.
const (
	// FieldOutcome is the field that says how a request ended.
	FieldOutcome = "outcome"
	// FieldStatus is the field with the status of an answer.
	FieldStatus = "status"
	// OutcomeAnswered says that the client got a server's answer.
	OutcomeAnswered = "answered"
)

// Dropped counts the lines that a Sink has dropped.
type Dropped struct {
	// Routine counts requests that went well, Other all other lines.
	Routine int64
	Other   int64
}

// Sink is a logrus hook that writes log lines in the background. It never blocks its
// caller: lines that find it full or too fast are dropped, routine ones first, and counted,
// and a line says how many once the output flows again.
type Sink struct {
	out       io.Writer
	formatter logrus.Formatter
	stop      chan struct{}
	done      chan struct{}
	all       *rate.Limiter
	routine   *rate.Limiter

	mu      sync.Mutex
	pending bytes.Buffer
	dropped Dropped
	// told is the part of dropped that a line has told of.
	told Dropped
}

// NewSink returns a Sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{
		out:     out,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		all:     rate.NewLimiter(maxRate, maxRate),
		routine: rate.NewLimiter(maxRate/2, maxRate/2),
	}
	go s.run()
	return s
}

// Attach makes a logger write all its lines to the sink, in the format that it has.
func (s *Sink) Attach(l *logrus.Logger) {
	s.formatter = l.Formatter
	l.AddHook(s)
	// The sink formats each line; the logger itself writes nothing.
	l.SetFormatter(silent{})
	l.SetOutput(io.Discard)
}

// silent formats nothing.
type silent struct{}

// Format returns no bytes.
func (silent) Format(*logrus.Entry) ([]byte, error) {
	return nil, nil
}

// Levels returns all levels.
func (s *Sink) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire takes one line.
func (s *Sink) Fire(e *logrus.Entry) error {
	line, err := s.formatter.Format(e)
	if err != nil {
		return err
	}
	s.take(line, isRoutine(e))
	return nil
}

// isRoutine says whether a line tells of a request that went well.
func isRoutine(e *logrus.Entry) bool {
	status, found := e.Data[FieldStatus].(int)
	return e.Data[FieldOutcome] == OutcomeAnswered && found && status < http.StatusBadRequest
}

// take keeps a line for the writer, or drops it.
func (s *Sink) take(line []byte, routine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if routine {
		if s.pending.Len()+len(line) > maxPending/2 || !s.routine.AllowN(now, len(line)) || !s.all.AllowN(now, len(line)) {
			s.dropped.Routine++
			return
		}
	} else if s.pending.Len()+len(line) > maxPending || !s.all.AllowN(now, len(line)) {
		s.dropped.Other++
		return
	}
	s.pending.Write(line)
}

// Dropped returns how many lines have been dropped so far.
func (s *Sink) Dropped() Dropped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes what is pending and waits for the writer to end, unless the output is stuck.
func (s *Sink) Close() {
	close(s.stop)
	timeout := time.NewTimer(closeWithin)
	defer timeout.Stop()
	select {
	case <-s.done:
	case <-timeout.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.flush()
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// droppedLine is the line that tells of dropped lines.
type droppedLine struct {
	Level   string `json:"level"`
	Message string `json:"msg"`
	Routine int64  `json:"routine"`
	Other   int64  `json:"other"`
	Time    string `json:"time"`
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines := bytes.Clone(s.pending.Bytes())
	s.pending.Reset()
	if s.dropped != s.told {
		lines = append(lines, s.tell()...)
	}
	s.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to tell of an output that fails.
		_, _ = s.out.Write(lines)
	}
}

// tell returns the line on what was dropped since the last one.
func (s *Sink) tell() []byte {
	line, err := json.Marshal(droppedLine{
		Level:   logrus.WarnLevel.String(),
		Message: "log lines dropped",
		Routine: s.dropped.Routine - s.told.Routine,
		Other:   s.dropped.Other - s.told.Other,
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
	})
	if err != nil {
		// The counts are told of with the next line.
		return nil
	}
	s.told = s.dropped
	return append(line, '\n')
}
