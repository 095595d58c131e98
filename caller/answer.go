package caller

import (
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

// copySize is the size of the pieces in which a long answer is passed on.
const copySize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copySize)
	return &buffer
}}

// pass passes an answer on: a small one only when it is whole, a longer one as it
// comes. The done function is called once the backend server has ended the answer.
func (x *exchange) pass(response *http.Response, done func(failed bool)) *attemptError {
	var kept []byte
	whole := false
	if !isStream(response) {
		var err error
		kept, err = io.ReadAll(io.LimitReader(response.Body, maxKept))
		if err != nil {
			done(true)
			failure := lovageyard.MayHaveRun("the backend server's answer broke off", err)
			return &attemptError{RequestError: failure, status: http.StatusBadGateway}
		}
		whole = len(kept) < maxKept
	}
	if whole {
		done(false)
	}
	x.recordAnswer(response, kept, whole)
	x.head(response)
	_, err := x.writer.Write(kept)
	if !whole {
		err = x.stream(response, err, done)
	}
	x.trailers(response)
	x.account(response, err)
	return nil
}

// stream passes the rest of a long answer on, and cuts it visibly if it breaks off.
func (x *exchange) stream(response *http.Response, err error, done func(failed bool)) error {
	if err == nil {
		err = x.copyRest(response)
	}
	var broken *brokenAnswer
	done(errors.As(err, &broken))
	if err != nil {
		x.account(response, err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// brokenAnswer is a failure on the backend server's side of an answer.
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
		if readErr != nil {
			return &brokenAnswer{readErr}
		}
	}
}

// isStream says whether an answer is meant to be read while it is being made.
func isStream(r *http.Response) bool {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passHint passes an early hint on; other interim answers concern one connection only.
func (x *exchange) passHint(code int, header textproto.MIMEHeader) error {
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

func (x *exchange) head(response *http.Response) {
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

// trailers passes on the trailers, which are complete once the body has been read.
func (x *exchange) trailers(response *http.Response) {
	if len(response.Trailer) == 0 {
		return
	}
	// The flush makes a small answer chunked, so that trailers can follow it.
	_ = http.NewResponseController(x.writer).Flush()
	copyHeader(x.writer.Header(), response.Trailer)
}

// account counts and records an attempt that was answered.
func (x *exchange) account(response *http.Response, err error) {
	x.count("answered")
	took := x.handler.timer.Now().Sub(x.began)
	x.observe(took)
	if err != nil {
		x.count("cut")
		x.record(nil, statusClientGone)
		return
	}
	x.record(nil, response.StatusCode)
}

func (x *exchange) observe(took time.Duration) {
	metrics.GetOrRegisterTimer("class."+x.work.Class.Name+".duration", x.handler.metrics).Update(took)
}
