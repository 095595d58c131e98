package detour_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// refusalCodec is codec that takes status 503 for a refusal.
type refusalCodec struct{ codec }

func (l refusalCodec) Answer(r *http.Response) lovageyard.ResponseMeta {
	meta := l.codec.Answer(r)
	meta.NotRun = r.StatusCode == http.StatusServiceUnavailable
	return meta
}

// serveTwice refuses each first attempt at a request and answers the second one. It repeats each answer when the next
// request arrives on the connection.
func serveTwice(conn net.Conn, received *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	repeated := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		n := received.Add(1)
		status := http.StatusServiceUnavailable
		if n%2 == 0 {
			status = http.StatusOK
		}
		answer := fmt.Sprintf("HTTP/1.1 %d status\r\nContent-Length: 0\r\nSeal: 1\r\nId: %s\r\nReceived: %d\r\n\r\n", status, request.Header.Get("Id"), n)
		if _, err := io.WriteString(conn, repeated+answer); err != nil {
			return
		}
		repeated = answer
		// The next answer must come later than the repeated one.
		time.Sleep(time.Millisecond)
	}
}

// A second answer to an attempt that was made through a peer and refused must not be taken for the answer to the next
// attempt through that peer.
func TestAttemptsThroughPeersKeepTheirAnswers(t *testing.T) {
	f := newFleet(t, "x", "y")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	defer listener.Close()
	var received atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTwice(conn, &received)
		}
	}()
	transport := link.New(refusalCodec{}, timer.Clock{}, nil)
	defer transport.Close()
	peer := f.networks["y"]
	peer.transport, peer.address = transport, listener.Addr().String()
	f.networks["x"].cut(&hanging)
	f.lose("x")
	before := received.Load()
	for n := range 20 {
		r := request(strconv.Itoa(n/2), "c")
		r.Header.Set("Id", r.ID)
		response, err := f.send("x", r)
		f.c.Assert(err, qt.IsNil)
		f.c.Check(response.Through, qt.Equals, "y")
		f.c.Check(response.Header.Get("Received"), qt.Equals, strconv.FormatInt(before+int64(n)+1, 10))
	}
}

// Sizes with which a message fits into the sender's buffer, but not into the receiver's.
const (
	smallReceiveBuffer = 2 << 10
	heldBodyBytes      = 24 << 10
)

// An attempt that was given up must not reach the peer later, when a partition no longer holds it: the peer would send
// it to the server after its deadline.
func TestGivenUpAttemptDoesNotReachPeer(t *testing.T) {
	f := newFleet(t, "x", "y")
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			f.c.Check(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer), qt.IsNil)
		})
	}}
	stalled, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	defer stalled.Close()
	read := make(chan struct{})
	whole := make(chan bool, 1)
	go func() {
		conn, err := stalled.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		<-read
		message, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, message.Body)
		}
		whole <- err == nil
	}()
	f.networks["x"].cut(&hanging)
	f.lose("x")
	f.movePeer("x", stalled.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r := request("1", "c")
	r.Body = make([]byte, heldBodyBytes)
	_, err = f.senders["x"].Send(ctx, r)
	f.c.Assert(err, qt.IsNotNil)
	close(read)
	f.c.Assert(<-whole, qt.IsFalse)
}
