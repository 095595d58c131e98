package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// BenchmarkSend measures an exchange on kept connections, with an answer of 2 KB.
func BenchmarkSend(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	head := "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\nContent-Type: text/plain\r\nId: "
	body := "\r\n\r\n" + strings.Repeat("x", 2000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.WriteString(conn, head+request.Header.Get("Id")+body); err != nil {
						return
					}
				}
			}()
		}
	}()
	transport := link.New(codec{}, timer.Clock{}, nil)
	defer transport.Close()
	r := link.Request{Method: "GET", Target: "/", Server: "s", ServerAddress: listener.Addr().String()}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r.ID = strconv.Itoa(n)
		r.Header = http.Header{"Id": {r.ID}}
		if _, err := transport.Send(context.Background(), r); err != nil {
			b.Fatal(err)
		}
	}
}
