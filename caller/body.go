package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBuffered is the size in bytes up to which a body is buffered, so that a request can be sent again or an
// answer forwarded as a whole.
const maxBuffered = 64 << 10

// requestBody is a caller's body. It is read before a slot is acquired, so that a slow caller does not occupy
// one.
type requestBody struct {
	buffered []byte
	rest     *trackedReader
	empty    bool
}

// trackedReader records whether its reader has ended.
type trackedReader struct {
	reader io.Reader
	ended  atomic.Bool
}

// Read implements io.Reader.
func (r *trackedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err == io.EOF {
		r.ended.Store(true)
	}
	return n, err
}

// readAhead reads a body up to a limit; the remainder is read while the request is sent.
func readAhead(r *http.Request, limit int64) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{empty: true}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		return nil, err
	}
	b := &requestBody{buffered: buffered}
	if int64(len(buffered)) == limit {
		b.rest = &trackedReader{reader: r.Body}
	}
	return b, nil
}

// isComplete reports whether the body is buffered completely and can be sent again.
func (b *requestBody) isComplete() bool {
	return b.rest == nil
}

// hasEnded reports whether the whole body has arrived.
func (b *requestBody) hasEnded() bool {
	return b.rest == nil || b.rest.ended.Load()
}

// attach sets the body of one attempt.
func (b *requestBody) attach(out *http.Request, length int64) {
	out.GetBody = nil
	if b.empty && len(out.Trailer) == 0 {
		out.Body = http.NoBody
		out.ContentLength = 0
		return
	}
	out.ContentLength = length
	if b.isComplete() {
		out.ContentLength = int64(len(b.buffered))
	}
	if len(out.Trailer) > 0 {
		// Only a chunked body can have trailers.
		out.ContentLength = -1
	}
	reader := io.Reader(bytes.NewReader(b.buffered))
	if b.rest != nil {
		reader = io.MultiReader(reader, b.rest)
	}
	out.Body = io.NopCloser(onlyReader{reader})
}

// onlyReader hides all methods but Read.
type onlyReader struct {
	io.Reader
}
