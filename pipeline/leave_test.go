package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/pipeline"
)

// leavingHandler responds with the path of a request after a while, and asks for the connection to be closed once
// leaving is set.
type leavingHandler struct {
	leaving atomic.Bool
	slow    time.Duration

	mu      sync.Mutex
	started []string
}

func (h *leavingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.started = append(h.started, r.URL.Path)
	first := len(h.started) == 1
	h.mu.Unlock()
	if h.leaving.Load() && pipeline.MayClose(r) {
		w.Header().Set("Connection", "close")
	}
	if first {
		time.Sleep(h.slow)
	} else {
		time.Sleep(time.Millisecond)
	}
	if r.Context().Err() == nil {
		_, _ = io.WriteString(w, r.URL.Path)
	}
}

// A server that leaves must answer each pipelined request that it has begun to run, and begin none behind a response
// that closes the connection, however long the first one takes.
func TestLeavingServerAnswersAllRequestsThatItRuns(t *testing.T) {
	for _, slow := range []time.Duration{time.Millisecond, 300 * time.Millisecond} {
		for train := 2; train <= 20; train += 3 {
			for _, leaveAfter := range []time.Duration{0, 500 * time.Microsecond, 2 * time.Millisecond, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d requests, the first in %s, leaving after %s", train, slow, leaveAfter), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					h := &leavingHandler{slow: slow}
					s := startServer(c, false, h, nil)
					cl := s.dial(c)
					var paths []string
					for n := range train {
						paths = append(paths, fmt.Sprint("/", n))
					}
					cl.send(gets(paths...))
					stopped := make(chan struct{})
					go func() {
						defer close(stopped)
						time.Sleep(leaveAfter)
						s.pipeline.Stop()
						h.leaving.Store(true)
						time.Sleep(20 * time.Millisecond)
						s.pipeline.Drain(context.Background())
						_ = s.Shutdown(context.Background())
					}()
					var answered []string
					for {
						response, err := http.ReadResponse(cl.reader, nil)
						if err != nil {
							break
						}
						body, err := io.ReadAll(response.Body)
						c.Assert(err, qt.IsNil)
						answered = append(answered, string(body))
					}
					<-stopped
					h.mu.Lock()
					defer h.mu.Unlock()
					c.Assert(answered, qt.ContentEquals, h.started)
				})
			}
		}
	}
}
