package entry

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
)

const (
	// maxBody is the maximum size of request bodies; the configuration may set a lower one. Bodies are read
	// completely before the request is sent, so that a slow client does not occupy a slot of a server.
	maxBody = 8 << 20
	// maxDiscardBytes and discardTimeout limit how much of a body is read after the request was refused. Many
	// clients send the whole body before they read the response, and would find their connection reset instead.
	maxDiscardBytes = 1 << 20
	discardTimeout  = time.Second
)

// errNoMemory means that the memory budget has no room for a body.
var errNoMemory = errors.New("this instance holds too many bytes for other requests")

// readBody reads the request's body, or ends the request and returns false.
func (x *exchange) readBody() bool {
	declared := x.request.ContentLength
	if declared == 0 {
		return true
	}
	limit := int64(maxBody)
	if n := x.view.Configuration.MaxBodyBytes; n > 0 {
		limit = min(limit, n)
	}
	if declared > limit {
		x.endUnread(func() { x.reject(http.StatusRequestEntityTooLarge, (&http.MaxBytesError{Limit: limit}).Error()) })
		return false
	}
	body := http.MaxBytesReader(x.writer, x.pacedBody(), limit)
	var err error
	x.body, err = link.ReadBody(body, declared, x.bodyReserve())
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.Is(err, errNoMemory):
		x.endUnread(func() { x.refuseForMemory(max(declared, int64(len(x.body)))) })
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.endSlow()
	default:
		x.reject(http.StatusBadRequest, err.Error())
	}
	return false
}

// bodyReserve returns the function that reserves memory for the request's body, or nil if there is no budget.
func (x *exchange) bodyReserve() link.Reserve {
	if x.handler.Memory == nil {
		return nil
	}
	return func(bytes int64) error {
		if !x.reserve(bytes) {
			return errNoMemory
		}
		return nil
	}
}

// reserve sets the number of bytes that are reserved for the request, and reports whether the budget has room.
func (x *exchange) reserve(bytes int64) bool {
	now := x.handler.Timer.Now()
	if x.memory != nil {
		return x.memory.Resize(bytes, now)
	}
	x.memory = x.handler.Memory.Reserve(bytes, now)
	return x.memory != nil
}

// refuseForMemory refuses a request that would need a number of bytes.
func (x *exchange) refuseForMemory(bytes int64) {
	after := x.handler.Memory.RetryAfter(bytes, x.handler.Timer.Now(), rand.Float64())
	x.refuse(causeMemory, errNoMemory.Error(), x.boundRetry(after), nil)
}

// boundRetry limits a retry time to a part of the time that the client has left, as another instance may serve the
// request.
func (x *exchange) boundRetry(after time.Duration) time.Duration {
	left := x.deadline.Sub(x.handler.Timer.Now())
	return max(immediateRetry, min(after, left/retryDivisor))
}

// endUnread ends a request whose body has not been read, by a function that responds. The response announces that
// the connection closes and is sent first; part of the body is read afterwards, so that the unread rest does not
// reset the connection before the client has read the response. The rest of a small body is left to net/http, which
// reads it before the response and keeps the connection.
func (x *exchange) endUnread(respond func()) {
	x.body = nil
	x.memory.Release(x.handler.Timer.Now())
	control := http.NewResponseController(x.writer)
	// Fails for writers without a connection, which have nothing to discard.
	bounded := control.SetReadDeadline(x.handler.Timer.Now().Add(discardTimeout)) == nil
	if n := x.request.ContentLength; n > 0 && n <= footprint.SmallBytes {
		respond()
		return
	}
	x.writer.Header().Set("Connection", "close")
	respond()
	// A client that waits for permission to send the body does not send it.
	if !bounded || control.Flush() != nil || x.request.Header.Get("Expect") != "" {
		return
	}
	// The client may disconnect or be too slow; net/http closes the connection in any case.
	_, _ = io.CopyN(io.Discard, x.request.Body, maxDiscardBytes)
}
