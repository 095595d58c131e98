package detour

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/transfer"
)

// Limits of calls to peers.
const (
	// maxPeers is the number of peers that are tried for one attempt.
	maxPeers = 3
	// peerDialTimeout is longer than a round trip between regions.
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 10 * time.Second
	// maxIdlePerPeer is the number of idle connections that are kept to each peer.
	maxIdlePerPeer = 32
	// maxReplyBytes limits a reply: the longest body of a response, and its headers. maxReplyHeadBytes limits the
	// headers of the reply itself.
	maxReplyBytes     = 33 << 20
	maxReplyHeadBytes = 16 << 10
	// maxStatus is the highest status of three digits.
	maxStatus = 999
)

// Outcomes of calls to peers, as used in metrics.
const (
	outcomeAnswered    = "answered"
	outcomeFailed      = "failed"
	outcomeUnavailable = "unavailable"
)

// newClient returns an HTTP client that detects peers that have stopped answering.
func newClient() *http.Client {
	return &http.Client{Transport: reservingTransport{&http.Transport{
		DialContext:         link.DialDiscarding(peerDialTimeout),
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxReplyHeadBytes,
	}}}
}

// sendThroughPeers makes one attempt through the first of up to maxPeers peers that can send the request.
func (s *Sender) sendThroughPeers(ctx context.Context, r link.Request) (*link.Response, error) {
	var cause error
	for range maxPeers {
		p, found := s.peers.choose(r, s.settings.Timer.Now())
		if !found {
			break
		}
		response, unavailable, err := s.sendThrough(ctx, p, r)
		if !unavailable || ctx.Err() != nil {
			return response, err
		}
		cause = err
		s.peers.exclude(p.Name, s.settings.Timer.Now())
	}
	return nil, inconclusive(lovageyard.NotRun("no other instance can send the request to the backend server", cause))
}

// inconclusive marks a failure that says nothing about the server.
func inconclusive(f *lovageyard.RequestError) *lovageyard.RequestError {
	f.Inconclusive = true
	return f
}

// sendThrough makes one attempt through a peer. unavailable means that the peer has not sent the request and
// that another one may be able to.
func (s *Sender) sendThrough(ctx context.Context, p lovageyard.EntryInstance, r link.Request) (response *link.Response, unavailable bool, err error) {
	var written atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	traced = context.WithValue(traced, reserveKey{}, r.Reserve)
	client := wire.NewDetourProtobufClient("http://"+p.PeerAddress, s.client)
	sentAt := s.settings.Timer.Now()
	reply, err := client.Send(traced, s.encode(ctx, r))
	switch {
	case err != nil && (!written.Load() || isRejected(err)):
		s.count(outcomeUnavailable)
		return nil, true, inconclusive(lovageyard.NotRun(p.Name+" could not be asked to send the request", err))
	case err != nil:
		s.count(outcomeFailed)
		s.peers.exclude(p.Name, s.settings.Timer.Now())
		return nil, false, inconclusive(lovageyard.MayHaveRun(p.Name+" was asked to send the request and did not reply", err))
	case reply.GetFailure().GetUnavailable():
		s.count(outcomeUnavailable)
		return nil, true, inconclusive(lovageyard.NotRun(p.Name+": "+reply.GetFailure().GetReason(), nil))
	case reply.GetFailure() != nil:
		s.count(outcomeFailed)
		return nil, false, decodeFailure(p.Name, reply.GetFailure())
	}
	response, err = s.decodeResponse(reply)
	if err != nil {
		s.count(outcomeFailed)
		s.peers.exclude(p.Name, s.settings.Timer.Now())
		return nil, false, inconclusive(lovageyard.MayHaveRun(p.Name+" was asked to send the request and replied without an answer", err))
	}
	s.count(outcomeAnswered)
	response.Through = p.Name
	if !response.Meta.Misdirected {
		server := lovageyard.BackendServer{Name: r.Server, Incarnation: r.Incarnation, Address: r.ServerAddress}
		s.settings.Observer.Observe(server, response.Meta.Backpressure, sentAt)
	}
	return response, false, nil
}

// isRejected reports whether the peer has rejected a call without handling it.
func isRejected(err error) bool {
	var rejection twirp.Error
	if !errors.As(err, &rejection) {
		return false
	}
	switch rejection.Code() {
	case twirp.BadRoute, twirp.PermissionDenied, twirp.ResourceExhausted:
		return true
	}
	return false
}

func (s *Sender) count(outcome string) {
	s.settings.Metrics.Count(meter.Detours, outcome)
}

// encode returns the message for one attempt.
func (s *Sender) encode(ctx context.Context, r link.Request) *wire.AttemptRequest {
	request := &wire.AttemptRequest{
		Instance:   s.settings.Self,
		Server:     r.Server,
		Life:       r.Incarnation,
		Method:     r.Method,
		Target:     r.Target,
		Host:       r.Host,
		Header:     encodeHeader(r.Header),
		Body:       r.Body,
		Id:         r.ID,
		Idempotent: r.Idempotent,
	}
	if deadline, found := ctx.Deadline(); found {
		request.TimeoutMs = max(1, deadline.Sub(s.settings.Timer.Now()).Milliseconds())
	}
	return request
}

// decodeResponse returns the final response in a reply, or an error if the reply has none.
func (s *Sender) decodeResponse(reply *wire.AttemptReply) (*link.Response, error) {
	head := &http.Response{StatusCode: int(reply.GetStatus()), Header: decodeHeader(reply.GetHeader())}
	if head.StatusCode < http.StatusOK || head.StatusCode > maxStatus {
		return nil, errors.Errorf("status: %d is not that of a final response", head.StatusCode)
	}
	if err := transfer.CheckHead(head); err != nil {
		return nil, err
	}
	return &link.Response{
		Status: head.StatusCode,
		Header: head.Header,
		Body:   reply.GetBody(),
		Meta:   s.settings.Codec.Answer(head),
	}, nil
}

// decodeFailure returns the failure that a peer reports. A verdict that is not known counts as may-have-run.
func decodeFailure(peer string, f *wire.Failure) *lovageyard.RequestError {
	failure := lovageyard.MayHaveRun(peer+": "+f.GetReason(), nil)
	if f.GetVerdict() == string(lovageyard.VerdictNotRun) {
		failure.Verdict = lovageyard.VerdictNotRun
	}
	failure.ConnectionLost = f.GetConnectionLost()
	failure.ServerExited = f.GetServerExited()
	failure.Throttled = f.GetThrottled()
	return failure
}

func encodeHeader(h http.Header) []*wire.Field {
	fields := make([]*wire.Field, 0, len(h))
	for name, values := range h {
		fields = append(fields, &wire.Field{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*wire.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}
