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

// short and long are a bound that a test means to exceed and one that it does not.
const (
	short = 200 * time.Millisecond
	long  = time.Minute
)

// serve answers with a handler until the test ends.
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

// assertTimeout asserts that an exchange was given up for time, with the bytes received by then.
func assertTimeout(c *qt.C, err error, received int64) {
	c.Helper()
	var exceeded *transfer.TimeoutError
	c.Assert(errors.As(err, &exceeded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(exceeded.Received, qt.Equals, received)
	c.Assert(exceeded.Timeout(), qt.IsTrue)
}

func TestAnswerThatDoesNotBeginIsGivenUp(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: short, Idle: long, Total: long}}
	_, err := get(c, client, url)
	assertTimeout(c, err, 0)
}

func TestBodyThatStallsIsGivenUp(t *testing.T) {
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

func TestExchangeThatGoesOnForTooLongIsGivenUp(t *testing.T) {
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

// The time until the answer begins counts from the last byte sent.
func TestLongRequestIsSentAsLongAsItGoes(t *testing.T) {
	c := qt.New(t)
	url := serve(c, func(w http.ResponseWriter, r *http.Request) {
		sent, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		_, _ = w.Write(sent)
	})
	client := transfer.Client{HTTP: http.DefaultClient, Timeouts: transfer.Timeouts{ResponseHeader: 10 * short, Idle: long, Total: long}}
	content := bytes.Repeat([]byte("x"), 30)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, &slow{content: content})
	c.Assert(err, qt.IsNil)
	response, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(received, qt.DeepEquals, content)
}

// slow gives one byte at a time.
type slow struct{ content []byte }

func (s *slow) Read(p []byte) (int, error) {
	if len(s.content) == 0 {
		return 0, io.EOF
	}
	time.Sleep(short / 2)
	n := copy(p[:1], s.content)
	s.content = s.content[n:]
	return n, nil
}

// The time without a byte begins with the answer's headers, not with the first byte of its body.
func TestBodyThatDoesNotBeginIsGivenUp(t *testing.T) {
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
