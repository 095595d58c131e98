package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/transfer"
)

// errClosedBeforeResponse reports a connection that the server closed before the first byte of a
// response.
var errClosedBeforeResponse = errors.New("the connection was closed before an answer")

// errUnidentified reports a response without an ID on a connection that has carried several requests.
var errUnidentified = errors.New("the answer does not say to which request it belongs")

// errTooLong reports a response whose body is longer than maxBodyBytes.
var errTooLong = errors.New("the answer is too long to be held")

// roundTrip sends the request on a connection and reads the whole response.
func (t *Transport) roundTrip(ctx context.Context, c *conn, r Request) (*Response, error) {
	c.recordRequest(r.ID)
	before := c.writes.Load()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastTime) })
	response, reusable, err := t.writeAndRead(c, r)
	// Once the function has started, the deadline may be set at any time from now on.
	stopped := stop()
	switch {
	case err != nil:
		return nil, c.abort(ctx, before, err)
	case reusable && stopped:
		t.putIdle(c, r.endpoint(), response.Header)
	default:
		c.reset()
	}
	return response, nil
}

// abort closes a connection on which a request failed, and returns the failure; before is the
// number of writes before the request.
func (c *conn) abort(ctx context.Context, before int64, err error) *lovageyard.RequestError {
	// Once the connection is closed, a write that has not started sends nothing.
	c.reset()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if c.writes.Load() == before {
		return lovageyard.NotRun("no byte of the request was sent", err)
	}
	failure := lovageyard.MayHaveRun("the backend server did not answer", err)
	failure.ConnectionLost = isConnClosed(err)
	failure.BrokenAnswer = c.begun && !isTimeout(err)
	return failure
}

// writeAndRead writes the request and reads the response that belongs to it. It reports whether the
// connection may carry another request.
func (t *Transport) writeAndRead(c *conn, r Request) (*Response, bool, error) {
	request := newHTTPRequest(r)
	sentAt := t.timer.Now()
	writeResult := startWrite(c, request, len(r.Body))
	response, reusable, err := t.readResponse(c, request, r, sentAt)
	select {
	case failure := <-writeResult:
		if failure != nil && err != nil {
			err = errors.Wrap(failure, "send")
		}
		return response, reusable && failure == nil, err
	default:
		// The server responded before it had read the request. The rest of the request must not be
		// sent where the next request would begin.
		return response, false, err
	}
}

// startWrite writes a request and sends the result on the returned channel. A long request is
// written while its response is read, as a server may respond, or refuse the request, before it has
// read all of it.
func startWrite(c *conn, request *http.Request, size int) <-chan error {
	writeResult := make(chan error, 1)
	if size <= writeBufferBytes {
		writeResult <- c.send(request)
	} else {
		go func() { writeResult <- c.send(request) }()
	}
	return writeResult
}

// send writes a whole request.
func (c *conn) send(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readResponse reads the response that belongs to the request. It reports whether the connection may carry
// another request.
func (t *Transport) readResponse(c *conn, request *http.Request, r Request, sentAt time.Time) (*Response, bool, error) {
	before := c.skipped
	response, meta, err := t.readAnswerHead(c, request, r.ID)
	if err != nil {
		return nil, false, err
	}
	t.notifyObserver(r.endpoint(), meta, sentAt)
	complete, err := readBody(response, meta, r.Reserve)
	if err != nil {
		return nil, false, err
	}
	complete.Skipped = c.skipped - before
	return complete, c.isReusableAfter(response, meta.ID), nil
}

// readAnswerHead reads the head of the response that belongs to the request with an ID. It skips responses to
// earlier requests; one that may belong to any of them is an error.
func (t *Transport) readAnswerHead(c *conn, request *http.Request, id string) (*http.Response, lovageyard.ResponseMeta, error) {
	var none lovageyard.ResponseMeta
	if err := c.awaitResponse(); err != nil {
		return nil, none, err
	}
	for range maxStrayResponses {
		response, err := c.readHead(request)
		if err != nil {
			return nil, none, err
		}
		meta := t.codec.Answer(response)
		if c.identifies(meta.ID, id) {
			return response, meta, nil
		}
		if meta.ID == "" {
			return nil, none, errUnidentified
		}
		c.skipped++
		if err := skipBody(response); err != nil {
			return nil, none, err
		}
	}
	return nil, none, errors.New("answer: only answers to other requests came")
}

// skipBody reads the body of a response to another request.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	switch {
	case err != nil:
		return errors.Wrap(err, "the answer to another request broke off")
	case n == maxBodyBytes:
		return errTooLong
	}
	return nil
}

// isReusableAfter reports whether the connection may carry another request after a response that was read to its
// end and has an ID.
func (c *conn) isReusableAfter(response *http.Response, id string) bool {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close && c.reader.Buffered() == 0 && c.mayCarryMore(id)
}

// readHead reads the head of the next final response, and passes interim responses to the client trace
// of the request. All of them together are limited to maxHeadBytes.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.head.beginHead()
	defer c.head.endHead()
	trace := httptrace.ContextClientTrace(r.Context())
	for {
		response, err := c.readNextHead(r)
		if err != nil {
			return nil, errors.Wrap(err, "answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if trace == nil || trace.Got1xxResponse == nil {
			continue
		}
		if err := trace.Got1xxResponse(response.StatusCode, textproto.MIMEHeader(response.Header)); err != nil {
			return nil, err
		}
	}
}

// awaitResponse waits for the first byte of a response.
func (c *conn) awaitResponse() error {
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		c.begun = true
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return errors.Wrap(errClosedBeforeResponse, err.Error())
	}
	return errors.Wrap(err, "answer")
}

// readBody reads the rest of a response; an incomplete body is an error. The body is not closed: that would
// read a body that is too long to its end, and the connection is closed after an error.
func readBody(response *http.Response, meta lovageyard.ResponseMeta, reserve Reserve) (*Response, error) {
	complete := &Response{Status: response.StatusCode, Header: response.Header, Meta: meta}
	if response.Body == http.NoBody {
		return complete, nil
	}
	if response.ContentLength >= maxBodyBytes {
		return nil, errTooLong
	}
	body, err := ReadBody(io.LimitReader(response.Body, maxBodyBytes), response.ContentLength, reserve)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "the answer broke off")
	case len(body) == maxBodyBytes:
		return nil, errTooLong
	}
	if err := transfer.CheckTrailer(response); err != nil {
		return nil, errors.Wrap(err, "the answer's trailer")
	}
	complete.Body = body
	return complete, nil
}

func newHTTPRequest(r Request) *http.Request {
	request := &http.Request{
		Method: r.Method,
		URL:    targetURL(r),
		Host:   r.Host,
		Header: r.Header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	return request
}
