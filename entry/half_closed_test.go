package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// A client that has closed its sending side and reads on must not get a success that no server gave: it gets the
// answer if there is one, and a failure otherwise.
func TestClientThatEndsItsSendingSideGetsNoEmptySuccess(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		step       step
		status     int
		body       string
	}{
		{"a charge that ran", false, success(200), http.StatusOK, "whole"},
		{"a charge that was refused", false, notRun(503), http.StatusServiceUnavailable, ""},
		{"a read that is cancelled", true, step{hang: true}, http.StatusBadGateway, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.step)
			h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: test.idempotent, Timeout: 20 * time.Second, Attempts: 1})
			handler := h.handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h.sender.before = func() { <-r.Context().Done() }
				handler.ServeHTTP(w, r)
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			h.c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET /x/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
			h.c.Assert(err, qt.IsNil)
			h.c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			h.c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			h.c.Assert(err, qt.IsNil)
			h.c.Assert(response.StatusCode, qt.Equals, test.status)
			if test.body != "" {
				h.c.Assert(string(body), qt.Equals, test.body)
			}
		})
	}
}
