package pipeline

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"
)

// responseWriter buffers a response until net/http reaches its request, and then passes on what is written.
type responseWriter struct {
	ctx  context.Context
	conn *conn
	// attached is closed when server is set and the response so far is written.
	attached chan struct{}

	mu     sync.Mutex
	header http.Header
	// informational are the responses before the final one, and written is its head, with status 0 until
	// it is written.
	informational []head
	written       head
	body          []byte
	flushed       bool
	// server is the response writer of net/http, or nil. It does not change once attached is closed.
	server http.ResponseWriter
}

// head is a status and the header at the time when it was written.
type head struct {
	status int
	header http.Header
}

func newResponseWriter(ctx context.Context, c *conn) *responseWriter {
	return &responseWriter{ctx: ctx, conn: c, header: make(http.Header), attached: make(chan struct{})}
}

// Header returns the header of the response.
func (w *responseWriter) Header() http.Header {
	return w.header
}

// WriteHeader sets the status, or adds an informational response.
func (w *responseWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(status)
}

// writeHeader sets the status. The caller holds w.mu.
func (w *responseWriter) writeHeader(status int) {
	if w.written.status != 0 {
		return
	}
	written := head{status: status, header: w.header.Clone()}
	if isInformational(status) {
		w.informational = append(w.informational, written)
	} else {
		w.written = written
	}
	if w.server != nil {
		w.passOn(written)
	}
}

// Write buffers p, or passes it on. If p is large, or the buffers of the connection are full, it waits until net/http
// has reached the request.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written.status == 0 {
		w.writeHeader(http.StatusOK)
	}
	if w.server == nil {
		if w.written.status == http.StatusNoContent || w.written.status == http.StatusNotModified {
			return 0, http.ErrBodyNotAllowed
		}
		if len(p) <= maxBufferedWrite && w.conn.reserve(len(p)) {
			w.body = append(w.body, p...)
			return len(p), nil
		}
		w.mu.Unlock()
		err := w.wait()
		w.mu.Lock()
		if err != nil {
			return 0, err
		}
	}
	return w.server.Write(p)
}

// Flush sends buffered data if net/http has reached the request, or as soon as it does.
func (w *responseWriter) Flush() {
	_ = w.FlushError()
}

// FlushError is as Flush, and returns the error of net/http if it has reached the request.
func (w *responseWriter) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written.status == 0 {
		w.writeHeader(http.StatusOK)
	}
	w.flushed = true
	if w.server == nil {
		return nil
	}
	return http.NewResponseController(w.server).Flush()
}

// SetWriteDeadline waits until net/http reaches the request, as the deadline applies to the responses before it until
// then, and sets it.
func (w *responseWriter) SetWriteDeadline(deadline time.Time) error {
	if err := w.wait(); err != nil {
		return err
	}
	return http.NewResponseController(w.server).SetWriteDeadline(deadline)
}

// Unwrap returns the response writer of net/http, or nil if the request is not reached. It does not wait for a write
// that blocks.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	select {
	case <-w.attached:
		return w.server
	default:
		return nil
	}
}

// wait returns nil when net/http has reached the request.
func (w *responseWriter) wait() error {
	select {
	case <-w.attached:
		return nil
	case <-w.ctx.Done():
		return w.ctx.Err()
	}
}

// attach sets the response writer of net/http and writes the response so far.
func (w *responseWriter) attach(server http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
	for _, h := range w.informational {
		w.passOn(h)
	}
	if w.written.status != 0 {
		w.passOn(w.written)
	}
	if len(w.body) > 0 {
		// The handler learns of a failure through its context or its next write.
		_, _ = server.Write(w.body)
		w.conn.release(len(w.body))
		w.body = nil
	}
	if w.flushed {
		_ = http.NewResponseController(server).Flush()
	}
	close(w.attached)
}

// finish copies the header again after the handler has returned, for trailers and for a response without a body.
func (w *responseWriter) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copyHeader(w.header)
}

// passOn writes a head to the server's response writer. The caller holds w.mu.
func (w *responseWriter) passOn(h head) {
	w.copyHeader(h.header)
	w.server.WriteHeader(h.status)
}

// copyHeader replaces the header of the server's response writer. The caller holds w.mu.
func (w *responseWriter) copyHeader(from http.Header) {
	header := w.server.Header()
	clear(header)
	maps.Copy(header, from)
}

// closesConnection reports whether the response closes the connection. It is called after the handler has ended.
func (w *responseWriter) closesConnection() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written.status == 0 {
		return closesConnection(w.header)
	}
	return closesConnection(w.written.header)
}

// isInformational reports whether a final status follows.
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}
