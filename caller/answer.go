package caller

import (
	"context"
	"io"
	"mime"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
)

// copyBufferSize is the size of the buffer with which a long answer is forwarded.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// forwardAnswer forwards an answer to the caller: a small one once it is complete, a longer one as it arrives.
// It calls done once the answer has ended, with true if the backend server broke it off.
func (x *exchange) forwardAnswer(response *http.Response, done func(failed bool)) *attemptError {
	var buffered []byte
	complete := false
	if !isStream(response) {
		var err error
		buffered, err = io.ReadAll(io.LimitReader(response.Body, maxBuffered))
		if err != nil {
			done(true)
			failure := lovageyard.MayHaveRun("the backend server's answer broke off", err)
			return &attemptError{RequestError: failure, status: http.StatusBadGateway}
		}
		complete = len(buffered) < maxBuffered
	}
	if complete {
		done(false)
	}
	x.recordAnswer(response, buffered, complete)
	x.writeHead(response)
	_, err := x.writer.Write(buffered)
	if !complete {
		err = x.streamRest(response, err, done)
	}
	x.writeTrailers(response)
	x.recordResult(response, err)
	return nil
}

// streamRest forwards the rest of a long answer. If that fails it aborts the connection.
func (x *exchange) streamRest(response *http.Response, err error, done func(failed bool)) error {
	if err == nil {
		err = x.copyRest(response)
	}
	var broken *brokenAnswer
	done(errors.As(err, &broken))
	if err != nil {
		x.recordResult(response, err)
		x.abort()
	}
	return nil
}

// abort ends the caller's connection in the middle of an answer, so that the caller notices that the answer is
// incomplete. To a caller of HTTP/1.0, an answer may end with its connection unless that is reset.
func (x *exchange) abort() {
	if !x.request.ProtoAtLeast(1, 1) {
		conn, _, err := http.NewResponseController(x.writer).Hijack()
		if err == nil {
			link.Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// brokenAnswer is an error of reading the backend server's answer, as opposed to writing to the caller.
type brokenAnswer struct {
	error
}

func (x *exchange) copyRest(response *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(x.writer)
	flush := isStream(response) || response.ContentLength < 0
	for {
		n, readErr := response.Body.Read(*buffer)
		if _, err := x.writer.Write((*buffer)[:n]); err != nil {
			return err
		}
		if flush && n > 0 {
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil && x.callerLeft() {
			return readErr
		}
		if readErr != nil {
			return &brokenAnswer{readErr}
		}
	}
}

// isStream reports whether the answer is an event stream, which has to be flushed as it arrives.
func isStream(r *http.Response) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// forwardEarlyHint forwards a 103 response; other 1xx responses concern a single connection only.
func (x *exchange) forwardEarlyHint(code int, header textproto.MIMEHeader) error {
	if code != http.StatusEarlyHints {
		return nil
	}
	copyHeader(x.writer.Header(), link.EndToEndHeaders(http.Header(header)))
	x.writer.WriteHeader(code)
	for name := range header {
		x.writer.Header().Del(name)
	}
	return nil
}

func (x *exchange) writeHead(response *http.Response) {
	x.beginAnswer()
	header := x.writer.Header()
	closing := header.Get("Connection")
	copyHeader(header, link.EndToEndHeaders(response.Header))
	header.Del(lovageyard.LoadHeader)
	header.Set(lovageyard.SiteHeader, x.choice.Site)
	if closing != "" {
		header.Set("Connection", closing)
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	if header.Get("Date") == "" {
		header["Date"] = nil
	}
	x.writer.WriteHeader(response.StatusCode)
}

// writeTrailers forwards the trailers, which are complete once the body has been read.
func (x *exchange) writeTrailers(response *http.Response) {
	if len(response.Trailer) == 0 {
		return
	}
	// Flushing forces chunked encoding for a small answer, as trailers require.
	_ = http.NewResponseController(x.writer).Flush()
	copyHeader(x.writer.Header(), response.Trailer)
}

// recordResult updates metrics and writes the log line of an answered attempt.
func (x *exchange) recordResult(response *http.Response, err error) {
	x.count("answered")
	took := x.handler.timer.Now().Sub(x.began)
	x.observeDuration(took)
	var broken *brokenAnswer
	switch {
	case errors.As(err, &broken):
		x.count("broken-off")
		x.record(x.newAttemptError(lovageyard.MayHaveRun("the backend server's answer broke off", broken.error)), 0)
	case err != nil:
		x.count("cut")
		x.record(nil, statusClientGone)
	default:
		x.record(nil, response.StatusCode)
	}
}

// callerLeft reports whether the caller has disconnected.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.request.Context().Err(), context.Canceled)
}

func (x *exchange) observeDuration(took time.Duration) {
	metrics.GetOrRegisterTimer("class."+x.classRoute.Class.Name+".duration", x.handler.metrics).Update(took)
}
