package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// An answer that ends before the request's long body was read to its end must not break the caller's connection:
// net/http panics if it looks for the next request while the rest of the body is read.
func TestAnswerBeforeEndOfBodyDoesNotBreakConnection(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	}
	early := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	for _, test := range []struct {
		name    string
		path    string
		size    int
		backend http.HandlerFunc
		status  int
	}{
		{"echo", "/lookups/1", maxBuffered + 4<<10, echo, http.StatusOK},
		{"answer before the body", "/lookups/1", maxBuffered + 4<<10, early, http.StatusNoContent},
		{"attempt refused", "/lookups/1", maxBuffered + 4<<10, refuse, http.StatusServiceUnavailable},
		{"charge with a long body", "/charges/1", maxChargeBody + 4<<10, early, http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var logged syncBuffer
			h := newHarness(t, newBackend(t, test.backend))
			front := httptest.NewUnstartedServer(h.front.Config.Handler)
			front.Config.ErrorLog = log.New(&logged, "", 0)
			front.Start()
			c.Cleanup(front.Close)
			client := front.Client()
			c.Cleanup(client.CloseIdleConnections)
			for range 30 {
				request, err := http.NewRequest(http.MethodPost, front.URL+test.path, strings.NewReader(strings.Repeat("x", test.size)))
				c.Assert(err, qt.IsNil)
				request.Header.Set("Idempotency-Key", "key-1")
				response, err := client.Do(request)
				c.Assert(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, test.status)
				_, err = io.Copy(io.Discard, response.Body)
				c.Check(err, qt.IsNil)
				response.Body.Close()
			}
			c.Check(logged.String(), qt.Equals, "")
		})
	}
}

// A caller whose body does not end must not hold a request beyond its deadline.
func TestBodyThatDoesNotArriveIsRefusedAtTheDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		length  int
		written int
		status  int
	}{
		{"before the first attempt", 100, 1, http.StatusRequestTimeout},
		{"while it is streamed", 2 * maxBuffered, maxBuffered + 1, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				answerOK(w, r)
			}))
			conn, err := net.Dial("tcp", h.front.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /lookups/1 HTTP/1.1\r\nHost: a\r\nLovageyard-Deadline-Ms: 300\r\nContent-Length: %d\r\n\r\n%s", test.length, strings.Repeat("x", test.written))
			c.Assert(err, qt.IsNil)
			c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(response.Close, qt.IsTrue)
			response.Body.Close()
		})
	}
}
