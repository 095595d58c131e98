package detour

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/transfer"
)

// Keys of values in contexts: the function that reserves memory for the reply of a peer, and the reservation of a
// call from a peer.
type (
	reserveKey     struct{}
	reservationKey struct{}
)

// reservingTransport checks the heads of the replies of peers, and reserves memory for the replies before they are read.
type reservingTransport struct{ http.RoundTripper }

// errReplyLength reports a reply that does not say how long it is, or is too long.
var errReplyLength = errors.Errorf("Content-Length of the reply: a number up to %d is expected", maxReplyBytes)

// RoundTrip implements http.RoundTripper.
func (t reservingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	reserve, _ := r.Context().Value(reserveKey{}).(link.Reserve)
	err = transfer.CheckHead(response)
	switch {
	case err != nil:
	case response.ContentLength < 0, response.ContentLength > maxReplyBytes:
		err = errReplyLength
	case reserve != nil && response.ContentLength > 0:
		err = reserve(response.ContentLength)
	}
	if err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t reservingTransport) CloseIdleConnections() {
	(&http.Client{Transport: t.RoundTripper}).CloseIdleConnections()
}

// withMemory returns a handler of calls from peers that reserves memory for each before it is read. A call for which
// there is none is rejected without being handled.
func (s *Server) withMemory(next http.Handler) http.Handler {
	pool := s.sender.settings.Memory
	if pool == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := s.sender.settings.Timer.Now
		held := pool.Reserve(max(0, r.ContentLength), now())
		if held == nil {
			// A failure to write the rejection is the caller's.
			_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, "this instance holds too many bytes for other requests"))
			return
		}
		defer func() { held.Release(now()) }()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), reservationKey{}, held)))
	})
}

// replyReserve returns the function that reserves memory for the response to an attempt for a peer, whose request
// has a body, or nil if there is no budget.
func (s *Server) replyReserve(ctx context.Context, body []byte) link.Reserve {
	held, _ := ctx.Value(reservationKey{}).(*footprint.Reservation)
	if held == nil {
		return nil
	}
	return func(bytes int64) error {
		if bytes <= footprint.SmallBytes {
			return nil
		}
		return held.Await(ctx, int64(len(body))+bytes, s.sender.settings.Timer.Now())
	}
}
