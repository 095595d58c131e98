package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// FuzzAnswers has a server send any bytes in place of an answer and close the connection. The exchange must end, with
// an answer or an error.
func FuzzAnswers(f *testing.F) {
	for _, answer := range endlessAnswers {
		f.Add([]byte(answer.begin + answer.repeat))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 7\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { listener.Close() })
	transport := link.New(codec{}, timer.Clock{}, nil)
	f.Cleanup(transport.Close)
	f.Fuzz(func(t *testing.T, answer []byte) {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := conn.Read(make([]byte, 4<<10)); err == nil {
				_, _ = conn.Write(answer)
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		response, err := transport.Send(ctx, link.Request{Method: "GET", Target: "/", Server: "s", ServerAddress: listener.Addr().String()})
		transport.Forget("s")
		switch {
		case ctx.Err() != nil:
			t.Fatal("the answer was read until the deadline")
		case err == nil && (response.Status < 200 || len(response.Body) > len(answer)):
			t.Fatalf("status %d with %d bytes", response.Status, len(response.Body))
		}
	})
}
