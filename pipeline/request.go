package pipeline

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
)

// request is a request that is run ahead.
type request struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	writer  *responseWriter
	// done is closed when the handler has ended; panicked is then the value of its panic, or nil.
	done     chan struct{}
	panicked any
	settled  sync.Once
}

func newRequest(c *conn, r *http.Request, cancel context.CancelFunc) *request {
	return &request{
		conn:    c,
		request: r,
		cancel:  cancel,
		writer:  newResponseWriter(r.Context(), c),
		done:    make(chan struct{}),
	}
}

// settle records that the response is written, or that it never will be.
func (r *request) settle() {
	r.settled.Do(r.conn.pipeline.undelivered.Done)
}

// run calls the handler. As by net/http, the context is cancelled when the handler has ended.
func (r *request) run() {
	p := r.conn.pipeline
	defer p.running.Done()
	defer close(r.done)
	defer r.cancel()
	defer func() {
		r.panicked = recover()
		if r.panicked != nil && r.panicked != http.ErrAbortHandler {
			// The stack is lost when the panic is repeated in the server's goroutine.
			p.Logger.WithField("stack", string(debug.Stack())).WithField("panic", r.panicked).
				Error("the handler of a pipelined request panicked")
		}
		if r.panicked != nil || r.writer.closesConnection() {
			r.conn.endAhead(r)
		}
	}()
	p.Handler.ServeHTTP(r.writer, r.request)
}

// deliver writes the response to w, as far as it is complete, and then what the handler still writes. The
// handler's panic is repeated, by which net/http closes the connection.
func (r *request) deliver(w http.ResponseWriter, delivered *http.Request) {
	defer r.settle()
	// The request was matched by its position on the connection.
	if delivered.Method != r.request.Method || delivered.RequestURI != r.request.RequestURI {
		r.cancel()
		panic(http.ErrAbortHandler)
	}
	defer r.cancel()
	stop := context.AfterFunc(delivered.Context(), r.cancel)
	defer stop()
	r.writer.attach(w)
	<-r.done
	if r.panicked != nil {
		panic(r.panicked)
	}
	r.writer.finish()
}

// closesConnection reports whether a response with this header closes the connection.
func closesConnection(h http.Header) bool {
	for _, value := range h["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}
