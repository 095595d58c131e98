package transfer

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// LimitRequests returns a handler that reads the body of each request before it passes the request on. A request whose
// body is longer than maxBytes is answered with status 413, and one whose body does not end in time with status 408.
func LimitRequests(next http.Handler, maxBytes int64, within time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readWithin(w, r, maxBytes, within)
		var tooLong *http.MaxBytesError
		switch {
		case errors.As(err, &tooLong):
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		case err != nil:
			// The connection can't be used any more, as the rest of the body may follow.
			w.Header().Set("Connection", "close")
			http.Error(w, "reading the body: "+err.Error(), http.StatusRequestTimeout)
		default:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		}
	})
}

// readWithin reads the body of a request.
func readWithin(w http.ResponseWriter, r *http.Request, maxBytes int64, within time.Duration) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}
