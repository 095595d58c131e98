package link_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// testObserver collects the backpressure that servers request.
type testObserver struct {
	mu       sync.Mutex
	observed []lovageyard.Backpressure
	// onObserve is called after each observation if it is set.
	onObserve func()
}

func (o *testObserver) Observe(_ lovageyard.BackendServer, n lovageyard.Backpressure, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observed = append(o.observed, n)
	if o.onObserve != nil {
		o.onObserve()
	}
}

func (o *testObserver) observations() []lovageyard.Backpressure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]lovageyard.Backpressure(nil), o.observed...)
}

// limitCodec interprets the status of a response as a rate limit.
type limitCodec struct{ codec }

func (l limitCodec) Answer(r *http.Response) lovageyard.ResponseMeta {
	meta := l.codec.Answer(r)
	meta.Backpressure = lovageyard.Backpressure{Limited: true, Limit: float64(r.StatusCode)}
	return meta
}

func newObservedTransport(c *qt.C, o *testObserver) *link.Transport {
	tr := link.New(limitCodec{}, timer.Clock{}, o)
	c.Cleanup(tr.Close)
	return tr
}

// Only responses of the server that the request was sent to are observed, not those of another
// server at its address or to another request.
func TestOnlyResponsesOfRequestedServerAreObserved(t *testing.T) {
	for _, test := range []struct {
		name    string
		scripts []string
		limits  []float64
	}{
		{"an answer", []string{answer("1", "one")}, []float64{200}},
		{"a refusal", []string{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"}, []float64{503}},
		{"an answer that breaks off", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalfCLOSE"}, []float64{200}},
		{"another server's", []string{"HTTP/1.1 421 Not here\r\nContent-Length: 0\r\n\r\n"}, nil},
		{"an answer to another request before it", []string{answer("7", "late") + answer("1", "one")}, []float64{200}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := &testObserver{}
			b := newScriptedServer(c, test.scripts...)
			_, _ = send(c, newObservedTransport(c, o), request(b, "1", false))
			var limits []float64
			for _, n := range o.observations() {
				limits = append(limits, n.Limit)
			}
			c.Assert(limits, qt.DeepEquals, test.limits)
		})
	}
}

// Backpressure must be observed when the header of a response is read, however long the body takes.
func TestBackpressureIsObservedBeforeBody(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	o := &testObserver{onObserve: cancel}
	b := newScriptedServer(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", answer("2", "never"))
	_, err := newObservedTransport(c, o).Send(ctx, request(b, "1", false))
	c.Assert(err, qt.IsNotNil)
	c.Assert(o.observations(), qt.HasLen, 1)
}

func TestBackpressureOfStreamIsObserved(t *testing.T) {
	c := qt.New(t)
	o := &testObserver{}
	b := newScriptedServer(c, answer("", "streamed"))
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprint("http://", b.listener.Addr()), nil)
	c.Assert(err, qt.IsNil)
	response, err := newObservedTransport(c, o).Stream(r, lovageyard.BackendServer{Name: "s", Address: b.listener.Addr().String()}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(o.observations(), qt.HasLen, 1)
}

// If a server requests a backoff while a connection is opened, the request must not be sent, and
// the connection must be kept.
func TestRequestIsWithheldAfterBackoff(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("2", "two"))
	tr := newTransport(c)
	r := request(b, "1", true)
	r.MaySend = func() bool { return false }
	_, err := send(c, tr, r)
	var failure *lovageyard.RequestError
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Assert(failure.Verdict, qt.Equals, lovageyard.VerdictNotRun)
	c.Assert(failure.Throttled, qt.IsTrue)
	_, err = send(c, tr, request(b, "2", true))
	c.Assert(err, qt.IsNil)
	requests, conns := b.received()
	c.Assert(requests, qt.HasLen, 1)
	c.Assert(conns, qt.Equals, 1)
}
