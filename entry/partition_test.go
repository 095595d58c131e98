package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/detour"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/timer"
)

// runCounter is a backend server that counts the runs of each request.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request.URL.Path]++
	fake.Seal(w.Header(), request.Header)
	_, _ = io.WriteString(w, "answer to "+request.URL.Path)
}

// ignoreBackpressure is an observer that does nothing.
type ignoreBackpressure struct{}

func (ignoreBackpressure) Observe(lovageyard.BackendServer, lovageyard.Backpressure, time.Time) {}

// newPath returns the path of an instance to the servers.
func (h *harness) newPath(name string) *detour.Sender {
	transport := link.New(platform.Headers{}, timer.Clock{}, nil)
	h.c.Cleanup(transport.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	path := detour.NewSender(detour.Settings{
		Self: name, Region: "north", Direct: transport, Source: h.source(), Codec: platform.Headers{},
		Observer: ignoreBackpressure{}, Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet(),
	})
	h.c.Cleanup(path.Close)
	return path
}

// An instance that reaches no server, while callers and other instances reach it, must serve its callers.
func TestPartitionedInstanceServesItsCallers(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			counter := &runCounter{runs: make(map[string]int)}
			backend := httptest.NewServer(counter)
			defer backend.Close()
			peer := newHarnessOf(t, 4)
			peer.address = backend.Listener.Addr().String()
			peer.setRoute(peer.route)
			table := dispatch.NewTable(dispatch.Settings{Self: "peer", FailureDomain: "north-1", Region: "north"})
			table.SetCatalog(peer.view.Snapshot, timer.Clock{}.Now())
			peers := httptest.NewServer(detour.NewServer(peer.newPath("peer"), table).Handler())
			defer peers.Close()
			live := []lovageyard.EntryInstance{
				{Name: "entry", Region: "north", PeerAddress: peers.Listener.Addr().String()},
				{Name: "peer", Region: "north", PeerAddress: peers.Listener.Addr().String()},
			}
			peer.view.Live = live

			h := newHarnessOf(t, 4)
			h.route.Idempotent = idempotent
			h.setRoute(h.route)
			h.view = &catalog.View{Snapshot: h.view.Snapshot, Ready: true, Live: live}
			h.path = h.newPath("entry")
			h.serving = h.handler()
			for n := range 40 {
				target := fmt.Sprint("/x/", n)
				response := h.send(http.MethodPost, target, "body")
				body, err := io.ReadAll(response.Body)
				h.c.Assert(err, qt.IsNil)
				h.c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
				h.c.Check(string(body), qt.Equals, "answer to "+target)
				h.c.Check(counter.runs[target], qt.Equals, 1)
			}
			h.c.Check(strings.Contains(h.log.String(), `"through":"peer"`), qt.IsTrue)
		})
	}
}

var _ entry.Sender = (*detour.Sender)(nil)
