package transfer_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/transfer"
)

// Requests whose bodies do not end must neither fill the memory of the process nor hold it, and others must be handled
// meanwhile.
func TestEndlessRequestsAreCut(t *testing.T) {
	const limit = 1 << 20
	for _, test := range []struct {
		name  string
		head  string
		block string
		pause time.Duration
	}{
		{"declared", "Content-Length: 9000000000\r\n\r\n", strings.Repeat("x", 64<<10), 0},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", 0},
		{"chunk line", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 64<<10), 0},
		{"slowly", "Content-Length: 1000\r\n\r\n", "x", 20 * time.Millisecond},
		{"never", "Content-Length: 1000\r\n\r\n", "", time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			url := serve(c, transfer.LimitRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(w, r.Body)
			}), limit, short).ServeHTTP)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+test.head)
			c.Assert(err, qt.IsNil)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				// The server closes the connection after its answer, or resets it.
				_, _ = io.Copy(io.Discard, conn)
			}()
			block := []byte(test.block)
			for open := true; open; {
				if len(block) > 0 {
					_, err := conn.Write(block)
					open = err == nil
				}
				select {
				case <-ended:
					open = false
				case <-time.After(min(test.pause, short)):
				}
			}
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			c.Check(allocated < 8*limit, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
			response, err := http.Post(url, "text/plain", strings.NewReader("whole"))
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			response.Body.Close()
			c.Check(string(body), qt.Equals, "whole")
		})
	}
}

// A request that takes long to handle must not be ended by the limit on reading its body.
func TestLimitEndsWithTheBody(t *testing.T) {
	c := qt.New(t)
	url := serve(c, transfer.LimitRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(2 * short):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	}), 100, short).ServeHTTP)
	response, err := http.Post(url, "text/plain", strings.NewReader("whole"))
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}
