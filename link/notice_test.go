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

// observer collects what servers ask for.
type observer struct {
	mu      sync.Mutex
	notices []lovageyard.Backpressure
	// heard is called with each notice, if it is set.
	heard func()
}

func (o *observer) Observe(_ lovageyard.BackendServer, n lovageyard.Backpressure, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notices = append(o.notices, n)
	if o.heard != nil {
		o.heard()
	}
}

func (o *observer) all() []lovageyard.Backpressure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]lovageyard.Backpressure(nil), o.notices...)
}

// limiting reads the answers' status as a limit.
type limiting struct{ codec }

func (l limiting) Answer(r *http.Response) lovageyard.ResponseMeta {
	meta := l.codec.Answer(r)
	meta.Backpressure = lovageyard.Backpressure{Limited: true, Limit: float64(r.StatusCode)}
	return meta
}

func newObservedLink(c *qt.C, o *observer) *link.Transport {
	l := link.New(limiting{}, timer.Clock{}, o)
	c.Cleanup(l.Close)
	return l
}

// Only what a server says itself, to a request that it got, is its own word.
func TestNoticesAreThoseOfTheServerThatWasAsked(t *testing.T) {
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
			o := &observer{}
			b := newBackendServer(c, test.scripts...)
			_, _ = send(c, newObservedLink(c, o), request(b, "1", false))
			var limits []float64
			for _, n := range o.all() {
				limits = append(limits, n.Limit)
			}
			c.Assert(limits, qt.DeepEquals, test.limits)
		})
	}
}

// What a server asks for is heard with the head of its answer, however long the rest takes.
func TestNoticeIsHeardBeforeTheBody(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	o := &observer{heard: cancel}
	b := newBackendServer(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", answer("2", "never"))
	_, err := newObservedLink(c, o).Send(ctx, request(b, "1", false))
	c.Assert(err, qt.IsNotNil)
	c.Assert(o.all(), qt.HasLen, 1)
}

func TestNoticeOfAStreamIsHeard(t *testing.T) {
	c := qt.New(t)
	o := &observer{}
	b := newBackendServer(c, answer("", "streamed"))
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprint("http://", b.listener.Addr()), nil)
	c.Assert(err, qt.IsNil)
	response, err := newObservedLink(c, o).Stream(r, lovageyard.BackendServer{Name: "s", Address: b.listener.Addr().String()})
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(o.all(), qt.HasLen, 1)
}

// A server that asks for no more while a connection is opened does not get the request; the connection is kept.
func TestRequestIsWithheldOnceItsServerAsksForNoMore(t *testing.T) {
	c := qt.New(t)
	b := newBackendServer(c, answer("2", "two"))
	l := newLink(c)
	r := request(b, "1", true)
	r.MaySend = func() bool { return false }
	_, err := send(c, l, r)
	var failure *lovageyard.RequestError
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Assert(failure.Verdict, qt.Equals, lovageyard.VerdictNotRun)
	c.Assert(failure.Throttled, qt.IsTrue)
	_, err = send(c, l, request(b, "2", true))
	c.Assert(err, qt.IsNil)
	requests, conns := b.seen()
	c.Assert(requests, qt.HasLen, 1)
	c.Assert(conns, qt.Equals, 1)
}
