package decision

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

// Limits of a Sink.
const (
	// maxPending is the size in bytes of the lines that wait to be written.
	maxPending = 1 << 20
	// flushEvery gathers lines, as each write costs a system call.
	flushEvery = 100 * time.Millisecond
)

// Sink writes log lines in the background. It never blocks its caller: lines that find it
// full are dropped and counted, and a line says how many once the output flows again.
type Sink struct {
	out  io.Writer
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int64
}

// NewSink returns a Sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, stop: make(chan struct{})}
	s.done.Go(s.run)
	return s
}

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.Len()+len(line) > maxPending {
		s.dropped++
		return len(line), nil
	}
	return s.pending.Write(line)
}

// Close writes what is pending and waits for the writer to end.
func (s *Sink) Close() {
	close(s.stop)
	s.done.Wait()
}

func (s *Sink) run() {
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

func (s *Sink) flush() {
	s.mu.Lock()
	lines := bytes.Clone(s.pending.Bytes())
	s.pending.Reset()
	if s.dropped > 0 {
		lines = append(lines, `{"level":"warning","msg":"log lines dropped","count":`+strconv.FormatInt(s.dropped, 10)+"}\n"...)
		s.dropped = 0
	}
	s.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to tell of an output that fails.
		_, _ = s.out.Write(lines)
	}
}
