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
	// maxPending is the size in bytes of the buffer of unwritten lines; routine lines may use half of it.
	maxPending = 1 << 20
	// maxRate is the maximum output rate in bytes a second; routine lines may use half of it. A line has about
	// 450 bytes, so that an instance with 100 requests a second writes 45,000 bytes a second.
	maxRate = 1 << 20
	// flushInterval is how long lines are collected, as each write is a system call.
	flushInterval = 100 * time.Millisecond
	// closeTimeout bounds the last write, so that a blocked output does not prevent an instance from exiting
	// in time: of its 6 s to shut down, 7% are left at that point.
	closeTimeout = 200 * time.Millisecond
)

// Fields by which routine lines are recognized.
const (
	// FieldOutcome is the field with the outcome of a request.
	FieldOutcome = "outcome"
	// FieldStatus is the field with the status of an answer.
	FieldStatus = "status"
	// OutcomeAnswered is the outcome of a request whose client got a server's answer.
	OutcomeAnswered = "answered"
)

// Dropped is the number of lines that a Sink has dropped.
type Dropped struct {
	// Routine counts the lines of successful requests, Other all other lines.
	Routine int64
	Other   int64
}

// Sink is a logrus hook that writes log lines in the background and never blocks its caller. Lines that exceed
// its buffer or rate are dropped and counted, routine lines first. Once the output accepts data again, a line
// reports how many were dropped.
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
	// reported is the part of dropped that has been reported in the output.
	reported Dropped
}

// NewSink returns a Sink that writes to out. Close has to be called to flush it.
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

// Attach redirects all lines of a logger to the sink. The sink uses the logger's current formatter.
func (s *Sink) Attach(l *logrus.Logger) {
	s.formatter = l.Formatter
	l.AddHook(s)
	// The sink formats each line itself, so that the logger must not write anything.
	l.SetFormatter(discardFormatter{})
	l.SetOutput(io.Discard)
}

// discardFormatter formats entries as nothing.
type discardFormatter struct{}

// Format returns no bytes.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) {
	return nil, nil
}

// Levels returns all levels, as the sink handles every line.
func (s *Sink) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire formats an entry and buffers it; it is called by logrus.
func (s *Sink) Fire(e *logrus.Entry) error {
	line, err := s.formatter.Format(e)
	if err != nil {
		return err
	}
	s.enqueue(line, isRoutine(e))
	return nil
}

// isRoutine reports whether a line is about a successful request.
func isRoutine(e *logrus.Entry) bool {
	status, found := e.Data[FieldStatus].(int)
	return e.Data[FieldOutcome] == OutcomeAnswered && found && status < http.StatusBadRequest
}

// enqueue buffers a line, or drops it.
func (s *Sink) enqueue(line []byte, routine bool) {
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

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() Dropped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close flushes the buffer and waits for the writer, for at most 200 ms if the output is blocked.
func (s *Sink) Close() {
	close(s.stop)
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-s.done:
	case <-timeout.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(flushInterval)
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

// dropNotice is the line that reports dropped lines.
type dropNotice struct {
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
	if s.dropped != s.reported {
		lines = append(lines, s.droppedLine()...)
	}
	s.mu.Unlock()
	if len(lines) > 0 {
		// A failure of the output itself cannot be reported anywhere.
		_, _ = s.out.Write(lines)
	}
}

// droppedLine returns a line with the number of lines dropped since the last such line.
func (s *Sink) droppedLine() []byte {
	line, err := json.Marshal(dropNotice{
		Level:   logrus.WarnLevel.String(),
		Message: "log lines dropped",
		Routine: s.dropped.Routine - s.reported.Routine,
		Other:   s.dropped.Other - s.reported.Other,
		Time:    time.Now().UTC().Format(time.RFC3339Nano),
	})
	if err != nil {
		// The next line reports these counts.
		return nil
	}
	s.reported = s.dropped
	return append(line, '\n')
}
