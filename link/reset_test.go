package link_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
)

// Sizes with which a request fits into the sender's buffer, but not into the receiver's.
const (
	smallReceiveBuffer = 2 << 10
	heldBodyBytes      = 24 << 10
)

// stalledServer accepts one connection and reads nothing from it until read is closed. It then reports whether it got a
// whole request.
type stalledServer struct {
	listener net.Listener
	// answer is sent before the request is read.
	answer string
	read   chan struct{}
	whole  chan bool
}

func newStalledServer(c *qt.C, answer string) *stalledServer {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &stalledServer{listener: listener, answer: answer, read: make(chan struct{}), whole: make(chan bool, 1)}
	go s.serve()
	c.Cleanup(func() { listener.Close() })
	return s
}

func (s *stalledServer) serve() {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, s.answer)
	<-s.read
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		s.whole <- false
		return
	}
	_, err = io.Copy(io.Discard, request.Body)
	s.whole <- err == nil
}

// A request that was given up must not reach its server later, when a partition or a stalled receiver no longer holds
// it: the server would run it after its deadline, or after it was to get no more requests. An answer without an ID ends
// the connection; after one with its ID, the rest of the request belongs to it and is delivered.
func TestGivenUpRequestDoesNotReachServer(t *testing.T) {
	body := bytes.Repeat([]byte("b"), heldBodyBytes)
	send := func(ctx context.Context, tr *link.Transport, address string) {
		_, _ = tr.Send(ctx, link.Request{Method: http.MethodPost, Target: "/", ID: "1", Server: "s", ServerAddress: address, Body: body, Header: http.Header{}})
	}
	stream := func(ctx context.Context, tr *link.Transport, address string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://unused/", bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		if response, err := tr.Stream(r, lovageyard.BackendServer{Name: "s", Address: address}, nil); err == nil {
			response.Body.Close()
		}
	}
	for _, test := range []struct {
		name    string
		answer  string
		attempt func(ctx context.Context, tr *link.Transport, address string)
	}{
		{"sent, timeout", "", send},
		{"sent, refused before it is read", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", send},
		{"sent, no answer", "nonsense\r\n\r\n", send},
		{"streamed, timeout", "", stream},
		{"streamed, refused before it is read", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", stream},
		{"streamed, answer closed early", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", stream},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStalledServer(c, test.answer)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			test.attempt(ctx, newTransport(c), s.listener.Addr().String())
			close(s.read)
			c.Assert(<-s.whole, qt.IsFalse)
		})
	}
}
