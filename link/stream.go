package link

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Stream makes one attempt at a server and returns the answer as it comes, for bodies that are longer than
// an instance holds. The error is a *lovageyard.RequestError. A request without a body that meets a
// kept connection just as the server closes it is sent once more. The answer's body must be closed.
func (l *Transport) Stream(r *http.Request, s lovageyard.BackendServer) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "http"
	r.URL.Host = s.Address
	replayable := r.Body == nil || r.Body == http.NoBody
	kept := l.take(peerOf(s), replayable)
	if kept == nil {
		return l.streamFresh(r, s)
	}
	response, failure := l.streamOn(kept, r, s)
	if failure == nil {
		return response, nil
	}
	if !failure.ConnectionLost || !replayable || r.Context().Err() != nil {
		return nil, failure
	}
	response, err := l.streamFresh(r, s)
	if err != nil {
		// Whatever became of the second send, the first may have run.
		return nil, lovageyard.MayHaveRun("the backend server closed the connection and did not answer again", err)
	}
	return response, nil
}

func (l *Transport) streamFresh(r *http.Request, s lovageyard.BackendServer) (*http.Response, error) {
	c, err := l.open(r.Context(), s.Address)
	if err != nil {
		return nil, notReached(err)
	}
	response, failure := l.streamOn(c, r, s)
	if failure != nil {
		return nil, failure
	}
	return response, nil
}

// streamOn sends a request on a connection and reads the head of its answer.
func (l *Transport) streamOn(c *conn, r *http.Request, s lovageyard.BackendServer) (*http.Response, *lovageyard.RequestError) {
	ctx := r.Context()
	before := c.writes.Load()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	sentAt := l.timer.Now()
	written := startStreaming(c, r)
	response, err := c.readHead(r)
	if err != nil {
		stop()
		return nil, c.giveUp(ctx, before, err)
	}
	l.hear(peerOf(s), l.codec.Answer(response), sentAt)
	body := &streamBody{
		link: l, conn: c, peer: peerOf(s), response: response, body: response.Body,
		context: ctx, stop: stop, written: written,
	}
	response.Body = body
	if body.body == http.NoBody {
		body.end(true)
	}
	return response, nil
}

// startStreaming writes a request and tells how that ended. One with a body is written while its answer
// is read.
func startStreaming(c *conn, r *http.Request) <-chan error {
	written := make(chan error, 1)
	if r.Body == nil || r.Body == http.NoBody {
		written <- c.send(r)
		return written
	}
	r.Body = &flushingBody{ReadCloser: r.Body, conn: c}
	go func() { written <- c.send(r) }()
	return written
}

// flushingBody sends what is written so far before it waits for more, so that a slow caller's server
// sees what there is.
type flushingBody struct {
	io.ReadCloser
	conn *conn
}

// Read reads more of the body.
func (b *flushingBody) Read(p []byte) (int, error) {
	if err := b.conn.writer.Flush(); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}

// readHead reads the head of the answer to a request, and passes interim ones to the request's trace.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	if err := c.awaitAnswer(); err != nil {
		return nil, err
	}
	trace := httptrace.ContextClientTrace(r.Context())
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
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

// streamBody is the body of an answer on its way; its connection is kept once it has ended.
type streamBody struct {
	link     *Transport
	conn     *conn
	peer     peer
	response *http.Response
	body     io.ReadCloser
	context  context.Context
	// stop keeps the end of the context from touching the connection.
	stop    func() bool
	written <-chan error
	// ended says that the connection is this body's no more, and whole that all of it was read.
	ended bool
	whole bool
}

var errGivenUp = errors.New("the answer was given up")

// Read reads more of the body.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.ended && b.whole {
		return 0, io.EOF
	}
	if b.ended {
		return 0, errGivenUp
	}
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.end(true)
	case err != nil && b.context.Err() != nil:
		err = b.context.Err()
	}
	return n, err
}

// Close gives the answer up if it has not ended.
func (b *streamBody) Close() error {
	b.end(false)
	return nil
}

// end keeps the connection for the next request, or closes it.
func (b *streamBody) end(whole bool) {
	if b.ended {
		return
	}
	b.ended, b.whole = true, whole
	untouched := b.stop()
	if whole && untouched && b.isReusable() {
		b.link.give(b.conn, b.peer, b.response.Header)
		return
	}
	b.conn.Close()
}

// isReusable says whether the connection may carry another request: the whole request has been sent,
// and nothing stands behind the answer.
func (b *streamBody) isReusable() bool {
	select {
	case err := <-b.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	framed := b.response.ContentLength >= 0 || len(b.response.TransferEncoding) > 0
	return framed && !b.response.Close && b.conn.reader.Buffered() == 0
}
