package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// A caller that ends its sending side and reads on must not get a success that no server gave.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	untilGone := func(_ http.ResponseWriter, r *http.Request) {
		// net/http notices the end of the connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	for _, test := range []struct {
		name    string
		request string
		backend http.HandlerFunc
	}{
		{"look-up that is cancelled", "GET /lookups/1 HTTP/1.1\r\nHost: a\r\n\r\n", untilGone},
		{"charge that is cancelled", "POST /charges/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nb", untilGone},
		{"look-ups behind it", "GET /lookups/1 HTTP/1.1\r\nHost: a\r\n\r\nGET /lookups/2 HTTP/1.1\r\nHost: a\r\n\r\n", untilGone},
		{"answered", "GET /lookups/1 HTTP/1.1\r\nHost: a\r\n\r\n", answerOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, newBackend(t, test.backend))
			conn, err := net.Dial("tcp", h.front.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, test.request)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			reader := bufio.NewReader(conn)
			for {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				if response.StatusCode == http.StatusOK {
					c.Check(string(body), qt.Equals, "whole")
					continue
				}
				c.Check(response.StatusCode >= http.StatusInternalServerError, qt.IsTrue)
				c.Check(response.Header.Get(lovageyard.VerdictHeader), qt.Not(qt.Equals), "")
			}
		})
	}
}
