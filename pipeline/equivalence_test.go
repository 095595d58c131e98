package pipeline_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/utilisation"
)

// recorder is a handler that records the requests of the connection and responds with their fields.
type recorder struct {
	mu       sync.Mutex
	requests map[string][]string
}

func (h *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %q %s host=%q close=%v length=%d coding=%v body=%q %v\n", r.Method, r.RequestURI, r.Proto, r.Host, r.Close, r.ContentLength, r.TransferEncoding, body, err != nil)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		text += fmt.Sprintf("%s: %q\n", name, r.Header[name])
	}
	text += fmt.Sprintf("trailers=%q path=%q server=%v", r.Trailer, r.URL.Path, r.Context().Value(http.LocalAddrContextKey) != nil && r.Context().Value(http.ServerContextKey) != nil)
	h.mu.Lock()
	h.requests[r.RemoteAddr] = append(h.requests[r.RemoteAddr], text)
	h.mu.Unlock()
	runtime.Gosched()
	w.Header().Set("X-Method", r.Method)
	switch r.URL.Path {
	case "/none":
		w.WriteHeader(http.StatusNoContent)
		_, _ = io.WriteString(w, "x")
	case "/empty":
	case "/early":
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, text)
	case "/long":
		for range 50 {
			_, _ = io.WriteString(w, text)
		}
	case "/flush":
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, text)
	case "/trailer":
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, text)
		w.Header().Set("X-Sum", "7")
		w.Header().Set(http.TrailerPrefix+"X-Late", "8")
	case "/declared":
		w.Header().Set("Content-Length", "3")
		_, _ = io.WriteString(w, "abc")
	default:
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, text)
	}
}

// take returns the requests that a connection has delivered, sorted, and removes them, as another connection
// may have the same address.
func (h *recorder) take(remoteAddress string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := h.requests[remoteAddress]
	delete(h.requests, remoteAddress)
	slices.Sort(requests)
	return requests
}

// pieceListener delivers the bytes of its connections in pieces of the sizes last set; the last size is
// repeated.
type pieceListener struct {
	net.Listener
	mu    sync.Mutex
	sizes []int
}

func (l *pieceListener) set(sizes ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sizes = sizes
}

func (l *pieceListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	return &pieceConn{Conn: accepted, sizes: l.sizes}, err
}

type pieceConn struct {
	net.Conn
	sizes []int
}

func (c *pieceConn) Read(p []byte) (int, error) {
	if len(c.sizes) == 0 {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.sizes[0])])
	if len(c.sizes) > 1 {
		c.sizes[0] -= n
		if c.sizes[0] == 0 {
			c.sizes = c.sizes[1:]
		}
	}
	return n, err
}

// Close reads what the client has sent before it closes; otherwise the client may lose the last response.
func (c *pieceConn) Close() error {
	_ = c.Conn.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	_, _ = io.Copy(io.Discard, c.Conn)
	return c.Conn.Close()
}

// pair is a server with a Pipeline and one without.
type pair struct {
	plain, ahead                 *testServer
	plainRecorder, aheadRecorder *recorder
	pieces                       *pieceListener
}

func newPair(c testing.TB) *pair {
	p := &pair{plainRecorder: &recorder{requests: map[string][]string{}}, aheadRecorder: &recorder{requests: map[string][]string{}}}
	wrap := func(l net.Listener) net.Listener {
		p.pieces = &pieceListener{Listener: l}
		return p.pieces
	}
	p.plain = startServer(c, true, p.plainRecorder, wrap)
	p.ahead = startServer(c, false, p.aheadRecorder, wrap)
	return p
}

// parsed returns the fields of all responses in text. The sizes of chunks may differ, and the date is left out.
func parsed(text []byte) (responses []string) {
	reader := bufio.NewReaderSize(bytes.NewReader(text), 1<<20)
	for {
		rest, _ := reader.Peek(1 << 20)
		header, _, _ := bytes.Cut(rest, []byte("\r\n\r\n"))
		method := http.MethodGet
		if bytes.Contains(header, []byte("X-Method: HEAD")) {
			method = http.MethodHead
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return append(responses, string(rest))
		}
		body, err := io.ReadAll(response.Body)
		response.Header.Del("Date")
		responses = append(responses, fmt.Sprintln(response.Proto, response.Status, response.Header, response.ContentLength,
			response.TransferEncoding, response.Close, string(body), err, response.Trailer))
	}
}

// exchange sends input, then closes the sending side, and returns all that the server responds and the
// requests that reached the handler.
func exchange(c *qt.C, s *testServer, r *recorder, input []byte) (responses, requests []string) {
	cl := s.dial(c)
	defer cl.Close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = cl.Write(input)
		_ = cl.Conn.(*net.TCPConn).CloseWrite()
	}()
	text, err := io.ReadAll(cl.reader)
	c.Assert(err, qt.IsNil)
	<-sent
	return parsed(text), r.take(cl.LocalAddr().String())
}

// check sends input to the server with a Pipeline, in pieces, and compares with the other server.
func (p *pair) check(c *qt.C, input []byte, splits ...[]int) {
	responses, requests := exchange(c, p.plain, p.plainRecorder, input)
	for _, sizes := range splits {
		comment := qt.Commentf("input %q in pieces %v", input, sizes)
		p.pieces.set(slices.Clone(sizes)...)
		gotResponses, gotRequests := exchange(c, p.ahead, p.aheadRecorder, input)
		c.Assert(gotResponses, qt.DeepEquals, responses, comment)
		c.Assert(gotRequests, qt.DeepEquals, requests, comment)
	}
}

// inputs are the bytes of connections with requests of many kinds.
var inputs = []string{
	gets("/1", "/long", "/empty", "/none", "/flush", "/trailer", "/declared", "/early", "/9", "/10", "/11", "/12"),
	get("/1") + "HEAD /2 HTTP/1.1\r\nHost: shop:80\r\nX-A: b\r\nX-A: c\r\nx-b:  d \r\n\r\n" + get("/3?q=%20"),
	"POST /1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n\r\nabcd" + get("/2") + "POST /3 HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\r\n\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n" + get("/4") + get("/5"),
	"POST /1 HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1;x=y\r\na\r\n0\r\nX-T: 1\r\n\r\n" + gets("/2", "/3"),
	get("/1") + "PUT /2 HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab" + gets("/3", "/4"),
	gets("/1", "/2") + "GET /3 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n" + gets("/4"),
	gets("/1") + "GET /2 HTTP/1.0\r\nHost: shop\r\nConnection: keep-alive\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.0\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: a/b\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nHost: shop\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nX y: z\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nX-Y: z\x01\r\n\r\n" + gets("/3"),
	gets("/1") + "GET http://other/2 HTTP/1.1\r\nHost: shop\r\n\r\n" + gets("/3"),
	gets("/1") + "malformed\r\n\r\n" + gets("/3"),
	gets("/1") + "\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\nHost: shop\nX-Fold: a\n b\n \n\n" + gets("/3"),
	gets("/1") + "OPTIONS * HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n\r\nabc" + gets("/3", "/4"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n" + gets("/3", "/4"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nExpect: other\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n\r\nabc" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + gets("/3"),
	"POST /1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n\r\na\r\n\r\n" + gets("/2", "/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nX-Long: " + strings.Repeat("a", 15000) + "\r\n\r\n" + gets("/3"),
	gets("/1") + "GET /2 HTTP/1.1\r\nHost: shop\r\nX-Long: " + strings.Repeat("a", 30000) + "\r\n\r\n" + gets("/3"),
	"a\n\n" + gets("/2"),
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}

// Guards against requests and responses that differ from those of net/http alone, wherever the bytes are split.
func TestRequestsSplitAtAnyByte(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	for _, input := range inputs {
		splits := [][]int{nil, {1}}
		// Inputs with a long header are split at fewer bytes; net/http takes half a second to reject one.
		step := 1
		if len(input) > 10000 {
			step = len(input) / 3
		}
		for first := 1; first < len(input); first += step {
			splits = append(splits, []int{first, len(input)})
		}
		p.check(c, []byte(input), splits...)
	}
}

// sequential are requests that are sent one by one. The server closes the connection after the last one.
var sequential = []string{
	get("/1"), get("/long"), get("/empty"), get("/none"), get("/flush"), get("/trailer"), get("/declared"), get("/early"),
	"HEAD /long HTTP/1.1\r\nHost: shop\r\n\r\n",
	"POST /1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n\r\nabcd",
	"POST /2 HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n\r\n",
	"PUT /3 HTTP/1.1\r\nHost: shop\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("a", 20000),
	"PUT /4 HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
	"OPTIONS * HTTP/1.1\r\nHost: shop\r\n\r\n",
	get("/5"),
	"POST /6 HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1;x=y\r\na\r\n0\r\nX-T: 1\r\n\r\n",
	get("/7"),
	"GET /8 HTTP/1.0\r\nHost: shop\r\nConnection: keep-alive\r\n\r\n",
	"malformed\r\n\r\n",
}

// Guards against any difference for a client that does not pipeline, over connections whose bytes are counted. Each
// request is the first of a connection once, as some change how the connection is read from then on.
func TestSequentialRequestsAreServedAsByTheServerAlone(t *testing.T) {
	c := qt.New(t)
	for first := range sequential {
		var received [2]string
		var requests [2][]string
		for i, plain := range []bool{true, false} {
			r := &recorder{requests: map[string][]string{}}
			s := startServer(c, plain, r, (&utilisation.Process{}).Listen)
			cl := s.dial(c)
			var text bytes.Buffer
			cl.reader = bufio.NewReader(io.TeeReader(cl.Conn, &text))
			for _, input := range sequential[first:] {
				cl.send(input)
				method, _, _ := strings.Cut(input, " ")
				for informational := true; informational; {
					response, err := http.ReadResponse(cl.reader, &http.Request{Method: method})
					c.Assert(err, qt.IsNil, qt.Commentf("%q", input))
					_, err = io.Copy(io.Discard, response.Body)
					c.Assert(err, qt.IsNil)
					informational = response.StatusCode < http.StatusOK
				}
			}
			cl.expectEnd()
			received[i] = dates.ReplaceAllString(text.String(), "")
			requests[i] = r.take(cl.LocalAddr().String())
			var metrics strings.Builder
			s.metrics.Write(&metrics)
			c.Assert(metrics.String(), qt.Not(qt.Contains), "requests-ahead")
		}
		c.Assert(received[1], qt.Equals, received[0])
		c.Assert(requests[1], qt.DeepEquals, requests[0])
	}
}

var dates = regexp.MustCompile("(?m)^Date: .*$")

// Guards against the same with any bytes.
func FuzzEquivalence(f *testing.F) {
	for i, input := range inputs {
		f.Add([]byte(input), uint16(i), uint16(1+i%7))
	}
	p := newPair(f)
	f.Fuzz(func(t *testing.T, input []byte, first, others uint16) {
		p.check(qt.New(t), input, []int{1 + int(first), 1 + int(others)})
	})
}
