package link_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// BenchmarkSend measures an exchange on a kept connection, with an answer of 2 KB.
func BenchmarkSend(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\nId: 7\r\nContent-Type: text/plain\r\n\r\n" + strings.Repeat("x", 2000))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}()
	transport := link.New(codec{}, timer.Clock{}, nil)
	defer transport.Close()
	r := link.Request{Method: "GET", Target: "/", ID: "7", Server: "s", ServerAddress: listener.Addr().String()}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := transport.Send(context.Background(), r); err != nil {
			b.Fatal(err)
		}
	}
}
