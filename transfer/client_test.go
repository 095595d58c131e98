package transfer_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/transfer"
)

// short is a timeout that a test expects to expire, and long one that it does not.
const (
	short = 200 * time.Millisecond
	long  = time.Minute
)

// serve runs a test server with a handler until the test ends and returns its URL.
func serve(c *qt.C, h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	c.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func get(c *qt.C, client transfer.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	c.Assert(err, qt.IsNil)
	return client.Do(request)
}

// assertTimeout asserts that an exchange was aborted by a timeout after the given number of bytes.
func assertTimeout(c *qt.C, err error, received int64) {
	c.Helper()
	var timeout *transfer.TimeoutError
	c.Assert(errors.As(err, &timeout), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(timeout.Received, qt.Equals, received)
	c.Assert(timeout.Timeout(), qt.IsTrue)
}

func TestResponseHeaderTimeout(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: short, Idle: long, Total: long}}
	_, err := get(c, client, url)
	assertTimeout(c, err, 0)
}

func TestIdleTimeoutInBody(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("some"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: long, Idle: short, Total: long}}
	response, err := get(c, client, url)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	c.Assert(string(read), qt.Equals, "some")
	assertTimeout(c, err, 4)
}

func TestTotalTimeout(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write([]byte("more"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(short / 10)
		}
	})
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: long, Idle: long, Total: short}}
	response, err := get(c, client, url)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

// The timeout for the response headers starts with the last byte sent, so a long request must not
// be aborted while it makes progress.
func TestLongRequestWithProgressIsSent(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(w http.ResponseWriter, r *http.Request) {
		sent, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		_, _ = w.Write(sent)
	})
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: 10 * short, Idle: long, Total: long}}
	content := bytes.Repeat([]byte("x"), 30)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, &slowReader{content: content})
	c.Assert(err, qt.IsNil)
	response, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(received, qt.DeepEquals, content)
}

// slowReader returns one byte per read, each after a pause.
type slowReader struct{ content []byte }

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.content) == 0 {
		return 0, io.EOF
	}
	time.Sleep(short / 2)
	n := copy(p[:1], s.content)
	s.content = s.content[n:]
	return n, nil
}

// The idle timeout must start with the response headers, not with the first byte of the body.
func TestIdleTimeoutBeforeBody(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: long, Idle: short, Total: long}}
	response, err := get(c, client, url)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assertTimeout(c, err, 0)
}

// A body that does not end must not fill the memory of the reader.
func TestEndlessBodyIsCut(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 20
	block := make([]byte, 64<<10)
	url := serve(c, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: long, Idle: long, Total: long}, MaxBytes: limit}
	response, err := get(c, client, url)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.ErrorMatches, "the answer is too long")
	c.Assert(len(body) <= 2*limit, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
}
