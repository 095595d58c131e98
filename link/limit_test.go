package link_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// endlessServer answers each request with a beginning and then repeats bytes until the connection is closed.
type endlessServer struct {
	listener net.Listener
	written  atomic.Int64
}

func newEndlessServer(c *qt.C, begin, repeat string) *endlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &endlessServer{listener: listener}
	c.Cleanup(func() { listener.Close() })
	block := []byte(repeat)
	for len(block) < 16<<10 {
		block = append(block, repeat...)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answer(conn, begin, block)
		}
	}()
	return s
}

func (s *endlessServer) answer(conn net.Conn, begin string, block []byte) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	_, err := conn.Write([]byte(begin))
	for err == nil {
		var n int
		n, err = conn.Write(block)
		s.written.Add(int64(n))
	}
}

// endlessAnswers are answers that do not end, by the part that does not.
var endlessAnswers = map[string]struct{ begin, repeat string }{
	"bytes that are no answer": {"", "x"},
	"status line":              {"HTTP/1.1 200 ", "O"},
	"one header":               {"HTTP/1.1 200 OK\r\nA: ", "b"},
	"many headers":             {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
	"interim responses":        {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"chunk line":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extensions":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;extension=" + strings.Repeat("e", 1000) + "\r\na\r\n"},
	"trailers":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: b\r\n"},
	"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("c", 0x400) + "\r\n"},
	"body without a length":    {"HTTP/1.1 200 OK\r\n\r\n", "c"},
	"bytes behind the answer":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x"},
}

// An answer that does not end must not fill the memory: it is cut at the limit of its part, and the connection is
// closed without reading on.
func TestEndlessAnswersAreCut(t *testing.T) {
	const reserved = 1 << 20
	errFull := errors.New("no memory for the body")
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newEndlessServer(c, answer.begin, answer.repeat)
			transport := link.New(codec{}, timer.Clock{}, nil)
			c.Cleanup(transport.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := transport.Send(ctx, link.Request{
				Method: "GET", Target: "/", Server: "s", ServerAddress: server.listener.Addr().String(),
				Reserve: func(bytes int64) error {
					if bytes > reserved {
						return errFull
					}
					return nil
				},
			})
			runtime.ReadMemStats(&after)
			c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the answer was read until the deadline"))
			allocated := after.TotalAlloc - before.TotalAlloc
			c.Assert(allocated < 4*reserved, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
			if name == "bytes behind the answer" {
				c.Assert(err, qt.IsNil)
				c.Assert(string(response.Body), qt.Equals, "ok")
			} else {
				c.Assert(err, qt.ErrorMatches, "the backend server did not answer: .*")
			}
			// The server notices that the connection was closed, rather than kept or drained.
			written := int64(-1)
			for deadline := time.Now().Add(10 * time.Second); server.written.Load() != written && time.Now().Before(deadline); {
				written = server.written.Load()
				time.Sleep(50 * time.Millisecond)
			}
			c.Assert(server.written.Load(), qt.Equals, written)
		})
	}
}

// A head that is just within the limit is read, however it arrives.
func TestHeadsWithinTheLimitAreRead(t *testing.T) {
	for _, size := range []int{100, 4000, 5000, 15_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			value := strings.Repeat("v", size)
			b := newScriptedServer(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nName: "+value+"\r\n\r\nok")
			transport := link.New(codec{}, timer.Clock{}, nil)
			c.Cleanup(transport.Close)
			response, err := transport.Send(context.Background(), link.Request{Method: "GET", Target: "/", Server: "s", ServerAddress: b.listener.Addr().String()})
			c.Assert(err, qt.IsNil)
			c.Assert(response.Header.Get("Name"), qt.Equals, value)
		})
	}
}

// Bytes that arrive on an idle connection belong to no request, and must not collect there.
func TestBytesOnIdleConnectionEndIt(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	transport := link.New(codec{}, timer.Clock{}, nil)
	defer transport.Close()
	c.Assert(transport.Connect(context.Background(), lovageyard.BackendServer{Name: "s", Address: listener.Addr().String()}), qt.IsNil)
	conn := <-accepted
	defer conn.Close()
	_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	c.Assert(err, qt.IsNil)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	for {
		transport.CloseExpired(time.Now())
		select {
		case <-closed:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
