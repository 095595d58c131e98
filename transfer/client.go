package transfer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Timeouts limit the duration of the phases of an exchange; zero means no limit.
type Timeouts struct {
	// ResponseHeader is the time from the last byte sent to the response headers. It also limits
	// pauses while the request is sent.
	ResponseHeader time.Duration
	// Idle is the time without any byte of the response body.
	Idle time.Duration
	// Total is the time of the whole exchange, even if it makes progress.
	Total time.Duration
}

// Client sends requests with HTTP and aborts them when one of the timeouts expires. It is safe for
// concurrent use.
type Client struct {
	HTTP     *http.Client
	Timeouts Timeouts
	// MaxBytes limits the response body, of which longer ones end with an error; zero means no limit.
	MaxBytes int64
}

// errTooLong ends a response body that is longer than MaxBytes.
var errTooLong = errors.New("the answer is too long")

// TimeoutError is the error of an exchange that was aborted by ResponseHeader or Idle. It
// implements net.Error's Timeout.
type TimeoutError struct {
	// Limit is the timeout that expired.
	Limit time.Duration
	// Received is the number of bytes of the response body that had been read by then.
	Received int64
}

// Error returns a message with the limit and the number of bytes received.
func (e *TimeoutError) Error() string {
	return errors.Errorf("no progress for %s, after %d bytes of the answer", e.Limit, e.Received).Error()
}

// Timeout returns true; see net.Error.
func (e *TimeoutError) Timeout() bool { return true }

// Do sends a request and returns the response once its headers are read. The timeouts apply until
// the response body is closed. If ResponseHeader or Idle expires, Do and reads of the body return a
// *TimeoutError.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), timeoutOrMax(c.Timeouts.Total))
	w := newWatchdog(cancel, c.Timeouts.ResponseHeader)
	request := r.WithContext(ctx)
	if r.Body != nil && r.Body != http.NoBody {
		request.Body = &progressReader{ReadCloser: r.Body, watchdog: w, timeout: c.Timeouts.ResponseHeader}
	}
	response, err := c.HTTP.Do(request)
	if err == nil {
		err = closeUnlessSound(response)
	}
	if err != nil {
		w.stop()
		cancel()
		return nil, w.timeoutError(err)
	}
	w.recordProgress(c.Timeouts.Idle, 0)
	response.Body = &responseBody{
		progressReader: progressReader{ReadCloser: response.Body, watchdog: w, timeout: c.Timeouts.Idle},
		cancel:         cancel, maxBytes: c.MaxBytes,
	}
	return response, nil
}

// closeUnlessSound closes the body of a response whose head is malformed, and returns what is wrong with the head.
func closeUnlessSound(response *http.Response) error {
	err := CheckHead(response)
	if err != nil {
		response.Body.Close()
	}
	return err
}

// watchdog cancels an exchange that makes no progress.
type watchdog struct {
	timer   *time.Timer
	expired atomic.Bool
	// limit is the timeout in effect, and received the number of bytes of the response body read.
	limit    atomic.Int64
	received atomic.Int64
}

func newWatchdog(cancel context.CancelFunc, timeout time.Duration) *watchdog {
	w := &watchdog{}
	w.limit.Store(int64(timeout))
	w.timer = time.AfterFunc(timeoutOrMax(timeout), func() {
		w.expired.Store(true)
		cancel()
	})
	return w
}

// maxTimeout is used in place of a timeout of zero.
const maxTimeout = 24 * time.Hour

func timeoutOrMax(timeout time.Duration) time.Duration {
	if timeout == 0 {
		return maxTimeout
	}
	return timeout
}

// recordProgress restarts the timer.
func (w *watchdog) recordProgress(timeout time.Duration, received int) {
	w.received.Add(int64(received))
	w.limit.Store(int64(timeout))
	if !w.expired.Load() {
		w.timer.Reset(timeoutOrMax(timeout))
	}
}

func (w *watchdog) stop() {
	w.timer.Stop()
}

// timeoutError returns a *TimeoutError in place of an error that the watchdog caused.
func (w *watchdog) timeoutError(err error) error {
	if err == nil || err == io.EOF || !w.expired.Load() {
		return err
	}
	return &TimeoutError{Limit: time.Duration(w.limit.Load()), Received: w.received.Load()}
}

// progressReader is a body that restarts the watchdog's timer after each read.
type progressReader struct {
	io.ReadCloser
	watchdog *watchdog
	timeout  time.Duration
}

// Read reads from the underlying body.
func (b *progressReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.recordProgress(b.timeout, 0)
	}
	return n, err
}

// responseBody is the body of a response. Reads return a *TimeoutError once the watchdog has
// cancelled the exchange.
type responseBody struct {
	progressReader
	cancel context.CancelFunc
	// maxBytes is the limit on the body, or 0.
	maxBytes int64
}

// Read reads from the underlying body, or returns a *TimeoutError if the exchange was aborted.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.recordProgress(b.timeout, n)
	}
	if b.maxBytes > 0 && b.watchdog.received.Load() > b.maxBytes {
		return n, errTooLong
	}
	return n, b.watchdog.timeoutError(err)
}

// Close closes the body and stops the watchdog.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.watchdog.stop()
	b.cancel()
	return err
}
