package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// write writes a request to a raw connection.
func (e *edge) write(conn io.Writer, method, path, id string) {
	request, err := http.NewRequest(method, "http://"+edgeHost+path+id, strings.NewReader("b"))
	e.c.Assert(err, qt.IsNil)
	if method == http.MethodGet {
		request.Body, request.ContentLength = nil, 0
	}
	fake.SetRequestHeaders(request.Header, id, id, 30*time.Second)
	e.c.Assert(request.Write(conn), qt.IsNil)
}

// A caller that sends several requests, ends its sending side and reads on must get the servers' answers, failures that
// were decided, or the end of the connection, but no success that no server gave.
func TestPipelineOfHalfClosedClientGetsNoEmptySuccess(t *testing.T) {
	t.Parallel()
	e := newEdge(t)
	for _, test := range []struct {
		name     string
		requests [][2]string
	}{
		{"short look-ups", [][2]string{{http.MethodGet, lookUpPrefix}, {http.MethodGet, lookUpPrefix}, {http.MethodGet, lookUpPrefix}}},
		{"behind a slow one", [][2]string{{http.MethodGet, slowPrefix}, {http.MethodGet, lookUpPrefix}, {http.MethodGet, slowPrefix}}},
		{"behind a charge", [][2]string{{http.MethodPost, longPrefix}, {http.MethodGet, lookUpPrefix}, {http.MethodPost, chargePrefix}}},
	} {
		conn, err := net.Dial("tcp", e.address)
		e.c.Assert(err, qt.IsNil)
		defer conn.Close()
		for n, r := range test.requests {
			e.write(conn, r[0], r[1], fmt.Sprintf("%s-%d", strings.ReplaceAll(test.name, " ", "-"), n))
		}
		e.c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		reader := bufio.NewReader(conn)
		answers := 0
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			body, err := io.ReadAll(response.Body)
			e.c.Assert(err, qt.IsNil)
			id := response.Header.Get("X-Request-Id")
			switch {
			case response.StatusCode == http.StatusOK:
				e.c.Check(string(body), qt.Equals, fake.Body(id), qt.Commentf("%s", test.name))
			default:
				e.c.Check(response.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s: %d", test.name, response.StatusCode))
				e.c.Check(response.Header.Get(lovageyard.VerdictHeader), qt.Not(qt.Equals), "", qt.Commentf("%s", test.name))
			}
			answers++
		}
		e.c.Check(answers > 0, qt.IsTrue, qt.Commentf("%s", test.name))
	}
}

// Further signals, reloads and a drain of a failure domain during a stop must not interrupt requests.
func TestSignalsDuringAStopInterruptNoRequest(t *testing.T) {
	t.Parallel()
	e := newEdgeWithLeaveTime(t, 6*time.Second)
	status := make(chan int, 2)
	for n := range 2 {
		go func() {
			got, _ := e.request(http.MethodPost, longPrefix, fmt.Sprint("in-flight-", n), "b")
			status <- got
		}()
	}
	long := e.servers[len(e.servers)-1]
	e.until("the requests to reach the server", func() bool { return long.Running() == 2 })
	e.store.Drain("north-1")
	for n, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		e.c.Assert(os.WriteFile(e.settings, fmt.Appendf(nil, `{"retry-ratio": 0.%d}`, n+1), 0o600), qt.IsNil)
		e.c.Assert(e.command.Process.Signal(s), qt.IsNil)
		time.Sleep(200 * time.Millisecond)
	}
	e.store.Undrain("north-1")
	for range 2 {
		e.c.Check(<-status, qt.Equals, http.StatusOK)
	}
	_, err := io.Copy(io.Discard, e.output)
	e.c.Assert(err, qt.IsNil)
	e.c.Assert(e.command.Wait(), qt.IsNil)
}
