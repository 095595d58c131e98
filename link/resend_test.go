package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
)

// failure is what a server does with a request before it closes the connection.
type failure struct {
	name string
	// reads is set if the server reads the whole request, and answer is what it sends.
	reads  bool
	answer string
}

// failingServer answers the first request if the connection is to be reused, fails the next one, and answers all
// further ones. It counts the requests that it has read after the first.
func failingServer(t *testing.T, f failure, reused bool) (server lovageyard.BackendServer, runs *atomic.Int64) {
	runs = &atomic.Int64{}
	fail := func(reader *bufio.Reader, conn net.Conn) {
		if _, err := reader.Peek(1); err != nil || !f.reads {
			return
		}
		readWhole(reader)
		runs.Add(1)
		write(conn, f.answer)
	}
	first := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if reused {
			if first := readWhole(reader); first != nil {
				write(conn, identify(first, okResponse))
			}
		}
		fail(reader, conn)
	}
	server, _ = rawServer(t, first, func(conn net.Conn) {
		readWhole(bufio.NewReader(conn))
		runs.Add(1)
		write(conn, okResponse)
	})
	return server, runs
}

// readWhole reads a request and its body; it returns nil if there is none.
func readWhole(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request
}

// streamOnce streams a request and reads the whole response.
func streamOnce(client *link.Transport, server lovageyard.BackendServer, method, body string, mayResend func() bool) error {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://unused/", nil)
	if err != nil {
		return err
	}
	if body != "" {
		request.Body = io.NopCloser(strings.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	response, err := client.Stream(request, server, mayResend)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Whether a request is sent again depends on the permission alone, not on its method or on whether it has a body. A
// charge without a body must not run twice.
func TestStreamIsSentAgainOnlyIfPermitted(t *testing.T) {
	failures := []failure{
		{"before the request is read", false, ""},
		{"after the request", true, ""},
		{"in the header of the answer", true, "HTTP/1.1 200 OK\r\nContent-"},
	}
	for _, f := range failures {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			for _, body := range []string{"", "{}"} {
				for _, reused := range []bool{false, true} {
					name := fmt.Sprintf("%s, %s, body %q, reused %t", f.name, method, body, reused)
					t.Run(name+", not permitted", func(t *testing.T) {
						c := qt.New(t)
						for _, mayResend := range []func() bool{nil, func() bool { return false }} {
							runs, err := streamToFailingServer(t, f, reused, method, body, mayResend)
							c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%d runs", runs))
							c.Check(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
						}
					})
					t.Run(name+", permitted", func(t *testing.T) {
						c := qt.New(t)
						runs, err := streamToFailingServer(t, f, reused, method, body, allow)
						c.Check(runs <= 2, qt.IsTrue, qt.Commentf("%d runs", runs))
						if reused && body == "" && f.answer == "" {
							c.Check(err, qt.IsNil)
						}
					})
				}
			}
		}
	}
}

// streamToFailingServer streams one request to a new failingServer, and returns how often it ran.
func streamToFailingServer(t *testing.T, f failure, reused bool, method, body string, mayResend func() bool) (int64, error) {
	server, runs := failingServer(t, f, reused)
	client := newStreamTransport()
	defer client.Close()
	if reused {
		if err := streamOnce(client, server, http.MethodGet, "", allow); err != nil {
			t.Fatal(err)
		}
	}
	err := streamOnce(client, server, method, body, mayResend)
	return runs.Load(), err
}

// A server closes a reused connection after it has read a request, and refuses the resend. The first send may have run,
// so that the request must not appear as refused.
func TestRefusedResendOfStreamMayHaveRun(t *testing.T) {
	c := qt.New(t)
	server, _ := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if first := readWhole(reader); first != nil {
			write(conn, identify(first, okResponse))
		}
		readWhole(reader)
	}, func(conn net.Conn) {
		if second := readWhole(bufio.NewReader(conn)); second != nil {
			write(conn, identify(second, "HTTP/1.1 503 Full\r\nLovageyard-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	client := newStreamTransport()
	defer client.Close()
	c.Assert(streamOnce(client, server, http.MethodGet, "", allow), qt.IsNil)
	err := streamOnce(client, server, http.MethodGet, "", allow)
	c.Assert(err, qt.IsNotNil)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
}
