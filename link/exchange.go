package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// errClosed reports a connection that the server closed before the first byte of an answer.
var errClosed = errors.New("the connection was closed before an answer")

// exchange sends the request on a connection and reads the whole answer.
func (l *Transport) exchange(ctx context.Context, c *conn, r Request) (*Response, error) {
	before := c.writes.Load()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	answer, reusable, err := l.converse(c, r)
	// Once the function has begun, the deadline may be set at any moment from now on.
	untouched := stop()
	if err == nil {
		if reusable && untouched {
			l.give(c, r.peer(), answer.Header)
		} else {
			c.Close()
		}
		return answer, nil
	}
	return nil, c.giveUp(ctx, before, err)
}

// giveUp closes a connection on which a request failed, and returns the failure; before is the number of
// writes before the request.
func (c *conn) giveUp(ctx context.Context, before int64, err error) *lovageyard.RequestError {
	// Once it is closed, a write that has not begun sends nothing.
	c.Close()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if c.writes.Load() == before {
		return lovageyard.NotRun("no byte of the request was sent", err)
	}
	failure := lovageyard.MayHaveRun("the backend server did not answer", err)
	failure.ConnectionLost = isBroken(err)
	return failure
}

// converse writes the request and reads answers until the one that belongs to it; it
// says whether the connection may carry another request.
func (l *Transport) converse(c *conn, r Request) (*Response, bool, error) {
	request := outgoing(r)
	sentAt := l.timer.Now()
	written := startWriting(c, request, len(r.Body))
	answer, reusable, err := l.readAnswer(c, request, r, sentAt)
	select {
	case failure := <-written:
		if failure != nil && err != nil {
			err = errors.Wrap(failure, "send")
		}
		return answer, reusable && failure == nil, err
	default:
		// The server answered before it had read the request; what is left of that must
		// not stand where the next request would begin.
		return answer, false, err
	}
}

// startWriting writes a request and tells how that ended. A long one is written while its
// answer is read, as a server may answer, or refuse it, before it is in.
func startWriting(c *conn, request *http.Request, size int) <-chan error {
	written := make(chan error, 1)
	if size <= writeBufferBytes {
		written <- c.send(request)
	} else {
		go func() { written <- c.send(request) }()
	}
	return written
}

// send writes a whole request.
func (c *conn) send(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readAnswer reads answers until the one that belongs to the request.
func (l *Transport) readAnswer(c *conn, request *http.Request, r Request, sentAt time.Time) (*Response, bool, error) {
	if err := c.awaitAnswer(); err != nil {
		return nil, false, err
	}
	for range maxStray {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, errors.Wrap(err, "answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		meta := l.codec.Answer(response)
		isOther := meta.ID != "" && meta.ID != r.ID
		if !isOther {
			l.hear(r.peer(), meta, sentAt)
		}
		answer, err := whole(response, meta)
		if err != nil {
			return nil, false, err
		}
		if isOther {
			continue
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		return answer, framed && !response.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, errors.New("answer: only answers to other requests came")
}

// awaitAnswer waits for the first byte of an answer.
func (c *conn) awaitAnswer() error {
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return errors.Wrap(errClosed, err.Error())
	}
	return errors.Wrap(err, "answer")
}

// whole reads an answer to its end; one that breaks off is an error.
func whole(response *http.Response, meta lovageyard.ResponseMeta) (*Response, error) {
	defer response.Body.Close()
	var body bytes.Buffer
	if n := response.ContentLength; n > 0 && n <= maxGrow {
		body.Grow(int(n))
	}
	if n, err := io.Copy(&body, io.LimitReader(response.Body, maxWhole)); err != nil {
		return nil, errors.Wrap(err, "the answer broke off")
	} else if n == maxWhole {
		return nil, errors.New("the answer is too long to be held")
	}
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body.Bytes(),
		Meta:   meta,
	}, nil
}

func outgoing(r Request) *http.Request {
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
