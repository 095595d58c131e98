package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status         int
	header         http.Header
	body           string
	err            error
	sentAt, doneAt time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is a client's request.
type request struct {
	method, target, host, id string
	header                   []string
	body                     string
	deadline                 time.Duration
}

func (q request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// client is one connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer, up to the client's deadline.
func (c *client) do(q request) answer {
	a := answer{sentAt: time.Now()}
	_ = c.SetDeadline(a.sentAt.Add(q.deadline))
	if _, a.err = io.WriteString(c, q.bytes()); a.err == nil {
		c.read(q.method, &a)
	}
	a.doneAt = time.Now()
	return a
}

func (c *client) read(method string, a *answer) {
	var r *http.Response
	for r == nil || r.StatusCode < 200 {
		if r, a.err = http.ReadResponse(c.reader, &http.Request{Method: method}); a.err != nil {
			return
		}
	}
	a.status, a.header = r.StatusCode, r.Header
	var body []byte
	body, a.err = io.ReadAll(r.Body)
	a.body = string(body)
}

// once sends a request on a connection of its own.
func once(address string, q request) answer {
	c, err := dialClient(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return c.do(q)
}
