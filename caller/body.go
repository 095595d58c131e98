package caller

import (
	"bytes"
	"io"
	"net/http"
)

// maxKept is the size up to which a body is kept, to be sent again or passed on whole.
const maxKept = 64 << 10

// requestBody is a caller's body, read ahead so that a slow caller holds no slot.
type requestBody struct {
	kept  []byte
	rest  io.Reader
	empty bool
}

// readAhead reads a body up to a limit.
func readAhead(r *http.Request, limit int64) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{empty: true}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		return nil, err
	}
	b := &requestBody{kept: kept}
	if int64(len(kept)) == limit {
		b.rest = r.Body
	}
	return b, nil
}

// whole says whether all of the body is kept, so that it can be sent again.
func (b *requestBody) whole() bool {
	return b.rest == nil
}

// attach gives one attempt its body. The transport is never told how to get the body
// again, and an empty body of a request that must not run twice is not http.NoBody:
// either would let the transport send the request again by itself.
func (b *requestBody) attach(out *http.Request, length int64, replayable bool) {
	out.GetBody = nil
	if b.empty && replayable && len(out.Trailer) == 0 {
		out.Body = http.NoBody
		out.ContentLength = 0
		return
	}
	out.ContentLength = length
	if b.whole() {
		out.ContentLength = int64(len(b.kept))
	}
	if len(out.Trailer) > 0 {
		// Trailers follow a chunked body only.
		out.ContentLength = -1
	}
	reader := io.Reader(bytes.NewReader(b.kept))
	if b.rest != nil {
		reader = io.MultiReader(reader, b.rest)
	}
	out.Body = io.NopCloser(onlyReader{reader})
}

// onlyReader hides all but Read.
type onlyReader struct {
	io.Reader
}
