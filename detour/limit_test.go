package detour_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// Replies of a peer that do not end must not fill the memory, and the connection must be closed without reading on. The
// attempt may have run.
func TestEndlessRepliesOfPeersAreCut(t *testing.T) {
	for name, reply := range map[string]struct{ begin, repeat string }{
		"bytes that are no reply":  {"", "x"},
		"header":                   {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"interim replies":          {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"body without a length":    {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", "c"},
		"chunks":                   {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nc\r\n"},
		"long body":                {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 9000000000\r\n\r\n", "c"},
		"failure without a length": {"HTTP/1.1 500 Failed\r\n\r\n", "c"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "x", "y")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			f.c.Assert(err, qt.IsNil)
			defer listener.Close()
			var written atomic.Int64
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err = io.WriteString(conn, reply.begin)
				for block := []byte(strings.Repeat(reply.repeat, 8000)); err == nil; {
					var n int
					n, err = conn.Write(block)
					written.Add(int64(n))
				}
			}()
			f.networks["x"].cut(&hanging)
			f.lose("x")
			f.movePeer("x", listener.Addr().String())
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = f.senders["x"].Send(ctx, request("1", "c"))
			runtime.ReadMemStats(&after)
			f.c.Assert(failureOf(f.c, err).Verdict, qt.Equals, lovageyard.VerdictMayHaveRun)
			f.c.Assert(ctx.Err(), qt.IsNil)
			<-closed
			allocated := after.TotalAlloc - before.TotalAlloc
			f.c.Check(allocated < 4<<20, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
		})
	}
}

// Calls of a peer whose length is not known would not count toward the memory budget.
func TestCallOfPeerWithoutLengthIsRejected(t *testing.T) {
	f := newFleet(t, "x", "y")
	server := httptest.NewServer(f.servers["y"].Handler())
	defer server.Close()
	body := struct{ io.Reader }{strings.NewReader("{}")}
	response, err := http.Post(server.URL+"/twirp/lovageyard.Detour/Send", "application/json", body)
	f.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusBadRequest)
	f.c.Assert(string(text), qt.Contains, "Content-Length")
}
