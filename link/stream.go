package link

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/transfer"
)

// Stream makes one attempt at a server and returns the response before its body is read, for bodies
// that are too long to be kept in memory. The error is a *lovageyard.RequestError. If the server closes
// a reused connection, mayResend decides whether the request is sent once more; nil means that it must
// not run twice. A request with a body is never sent again, as the body may have been read. The caller
// must close the response body.
func (t *Transport) Stream(r *http.Request, s lovageyard.BackendServer, mayResend func() bool) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "http"
	r.URL.Host = s.Address
	if r.Header == nil {
		r.Header = make(http.Header)
	}
	replayable := mayResend != nil && hasNoBody(r)
	idle := t.takeIdle(endpointOf(s), replayable, setAttemptID(r))
	if idle == nil {
		return t.streamOnNewConn(r, s)
	}
	response, failure := t.streamOnConn(idle, r, s)
	if failure == nil {
		return response, nil
	}
	if !failure.ConnectionLost || !replayable || r.Context().Err() != nil || !mayResend() {
		return nil, failure
	}
	response, err := t.streamOnNewConn(r, s)
	// Whatever the result of the second send, the first may have run: a refusal applies to the second only.
	switch {
	case err != nil:
		return nil, lovageyard.MayHaveRun("the backend server closed the connection and did not answer again", err)
	case t.codec.Answer(response).NotRun:
		response.Body.Close()
		return nil, lovageyard.MayHaveRun("the backend server closed the connection and refused the request sent again", nil)
	}
	return response, nil
}

// setAttemptID gives a request a new ID, which a resend must not share with the first send.
func setAttemptID(r *http.Request) string {
	id := strconv.FormatUint(rand.Uint64(), 16)
	r.Header.Set(lovageyard.AttemptHeader, id)
	return id
}

func hasNoBody(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody
}

func (t *Transport) streamOnNewConn(r *http.Request, s lovageyard.BackendServer) (*http.Response, error) {
	c, err := t.open(r.Context(), s.Address)
	if err != nil {
		return nil, unreachableError(err)
	}
	setAttemptID(r)
	response, failure := t.streamOnConn(c, r, s)
	if failure != nil {
		return nil, failure
	}
	return response, nil
}

// streamOnConn sends a request on a connection and reads the header of the response.
func (t *Transport) streamOnConn(c *conn, r *http.Request, s lovageyard.BackendServer) (*http.Response, *lovageyard.RequestError) {
	ctx := r.Context()
	id := r.Header.Get(lovageyard.AttemptHeader)
	c.recordRequest(id)
	before := c.writes.Load()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastTime) })
	sentAt := t.timer.Now()
	writeResult := startStreamWrite(c, r)
	response, meta, err := t.readAnswerHead(c, r, id)
	if err != nil {
		stop()
		return nil, c.abort(ctx, before, err)
	}
	t.notifyObserver(endpointOf(s), meta, sentAt)
	body := &streamBody{
		transport: t, conn: c, endpoint: endpointOf(s), response: response, id: meta.ID, body: response.Body,
		context: ctx, stop: stop, writeResult: writeResult,
	}
	response.Header.Del(lovageyard.AttemptHeader)
	response.Body = body
	if body.body == http.NoBody {
		body.finish(true)
	}
	return response, nil
}

// startStreamWrite writes a request and sends the result on the returned channel. A request with a
// body is written while the response is read.
func startStreamWrite(c *conn, r *http.Request) <-chan error {
	writeResult := make(chan error, 1)
	if hasNoBody(r) {
		writeResult <- c.send(r)
		return writeResult
	}
	r.Body = &flushingBody{ReadCloser: r.Body, conn: c}
	go func() { writeResult <- c.send(r) }()
	return writeResult
}

// flushingBody flushes the data written so far before it reads more, so that a slow client's data
// reaches the server without delay.
type flushingBody struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the underlying body; it implements io.Reader.
func (b *flushingBody) Read(p []byte) (int, error) {
	if err := b.conn.writer.Flush(); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}

// streamBody is the body of a streamed response; its connection is kept for reuse after the body
// has ended.
type streamBody struct {
	transport *Transport
	conn      *conn
	endpoint  endpoint
	response  *http.Response
	// id is the ID in the response, or "".
	id      string
	body    io.ReadCloser
	context context.Context
	// stop prevents the end of the context from affecting the connection.
	stop        func() bool
	writeResult <-chan error
	// finished means that the connection no longer belongs to this body, and complete that the body
	// was read to its end.
	finished bool
	complete bool
}

var errBodyClosed = errors.New("the response body was closed")

// Read reads from the body; after Close it returns an error.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.finished && b.complete {
		return 0, io.EOF
	}
	if b.finished {
		return 0, errBodyClosed
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		err = b.end()
	}
	switch {
	case err == io.EOF:
		b.finish(true)
	case err != nil && b.context.Err() != nil:
		err = b.context.Err()
	}
	return n, err
}

// end returns io.EOF, or what is wrong with the trailer.
func (b *streamBody) end() error {
	if err := transfer.CheckTrailer(b.response); err != nil {
		return errors.Wrap(err, "the answer's trailer")
	}
	return io.EOF
}

// Close resets the connection unless the body was read to its end.
func (b *streamBody) Close() error {
	b.finish(false)
	return nil
}

// finish keeps the connection for the next request, or closes it.
func (b *streamBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished, b.complete = true, complete
	stopped := b.stop()
	if complete && stopped && b.isReusable() {
		b.transport.putIdle(b.conn, b.endpoint, b.response.Header)
		return
	}
	b.conn.reset()
}

// isReusable reports whether the connection may carry another request: the whole request was sent,
// and no bytes follow the response.
func (b *streamBody) isReusable() bool {
	select {
	case err := <-b.writeResult:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return b.conn.isReusableAfter(b.response, b.id)
}
