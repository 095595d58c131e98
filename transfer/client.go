package transfer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Timeouts are the times that one exchange may take; a zero means no bound.
type Timeouts struct {
	// ResponseHeader is the time from the last byte sent to the answer's headers.
	ResponseHeader time.Duration
	// Idle is the time without a byte of a body.
	Idle time.Duration
	// Total is the time of the whole exchange, however well it goes on.
	Total time.Duration
}

// Client sends requests within bounds.
type Client struct {
	HTTP     *http.Client
	Timeouts Timeouts
}

// TimeoutError is the end of an exchange that exceeded one of its bounds.
type TimeoutError struct {
	// Limit is the time that was exceeded.
	Limit time.Duration
	// Received is the number of bytes of the answer's body that had come by then.
	Received int64
}

// Error says what was exceeded.
func (e *TimeoutError) Error() string {
	return errors.Errorf("no progress for %s, after %d bytes of the answer", e.Limit, e.Received).Error()
}

// Timeout returns true; see net.Error.
func (e *TimeoutError) Timeout() bool { return true }

// Do sends a request and returns the answer once its headers have come; the bounds hold until
// its body is closed. It returns a TimeoutError, as reads of the body do, if one is exceeded.
func (c Client) Do(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), span(c.Timeouts.Total))
	w := newWatch(cancel, c.Timeouts.ResponseHeader)
	request := r.WithContext(ctx)
	if r.Body != nil && r.Body != http.NoBody {
		request.Body = &body{ReadCloser: r.Body, watch: w, bound: c.Timeouts.ResponseHeader}
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		w.stop()
		cancel()
		return nil, w.explain(err)
	}
	w.progress(c.Timeouts.Idle, 0)
	response.Body = &answer{body: body{ReadCloser: response.Body, watch: w, bound: c.Timeouts.Idle}, cancel: cancel}
	return response, nil
}

// watch cancels an exchange that makes no progress.
type watch struct {
	timer    *time.Timer
	expired  atomic.Bool
	bound    atomic.Int64
	received atomic.Int64
}

func newWatch(cancel context.CancelFunc, bound time.Duration) *watch {
	w := &watch{}
	w.bound.Store(int64(bound))
	w.timer = time.AfterFunc(span(bound), func() {
		w.expired.Store(true)
		cancel()
	})
	return w
}

// noBound stands for a bound of zero.
const noBound = 24 * time.Hour

func span(bound time.Duration) time.Duration {
	if bound == 0 {
		return noBound
	}
	return bound
}

// progress begins the time without a byte anew.
func (w *watch) progress(bound time.Duration, received int) {
	w.received.Add(int64(received))
	w.bound.Store(int64(bound))
	if !w.expired.Load() {
		w.timer.Reset(span(bound))
	}
}

func (w *watch) stop() {
	w.timer.Stop()
}

// explain returns the reason of an error that the watch caused.
func (w *watch) explain(err error) error {
	if err == nil || err == io.EOF || !w.expired.Load() {
		return err
	}
	return &TimeoutError{Limit: time.Duration(w.bound.Load()), Received: w.received.Load()}
}

// body notes each byte that goes through it as progress.
type body struct {
	io.ReadCloser
	watch *watch
	bound time.Duration
}

// Read reads on.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.progress(b.bound, 0)
	}
	return n, err
}

// answer is the body of an answer.
type answer struct {
	body
	cancel context.CancelFunc
}

// Read reads on, or says why the exchange was given up.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if n > 0 {
		a.watch.progress(a.bound, n)
	}
	return n, a.watch.explain(err)
}

// Close ends the exchange.
func (a *answer) Close() error {
	err := a.ReadCloser.Close()
	a.watch.stop()
	a.cancel()
	return err
}
