package detour

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/transfer"
)

const (
	// maxAttempts limits the attempts that are made for peers at a time, as each holds its body in memory.
	maxAttempts = 256
	// maxMessageBytes limits a message: the longest body of a request, and its headers. messageTimeout limits the
	// time to read it; it takes 7 s on a link of 10 Mbit/s.
	maxMessageBytes = 9 << 20
	messageTimeout  = 15 * time.Second
)

// Table tells which servers may get requests; see dispatch.Table.
type Table interface {
	// Forward returns the server with a name and an incarnation, and counts a request to it. It returns false
	// if this instance may send the server nothing.
	Forward(name string, incarnation int64, now time.Time) (lovageyard.BackendServer, bool)
	// MayForward reports whether the request may still be sent.
	MayForward(server lovageyard.BackendServer, now time.Time) bool
}

// Server makes attempts for peers, on the direct path. It implements wire.Detour and is safe for concurrent
// use.
type Server struct {
	sender *Sender
	table  Table

	mu sync.Mutex
	// closed means that no more attempts are made, and running is the number of those under way.
	closed  bool
	running int
	idle    *sync.Cond
}

// NewServer returns a Server that sends with the direct path of a Sender.
func NewServer(s *Sender, t Table) *Server {
	server := &Server{sender: s, table: t}
	server.idle = sync.NewCond(&server.mu)
	return server
}

// Send makes one attempt for a peer; it implements wire.Detour.
func (s *Server) Send(ctx context.Context, r *wire.AttemptRequest) (*wire.AttemptReply, error) {
	if !s.begin() {
		return unavailable("this instance makes no attempts for others now"), nil
	}
	defer s.end()
	now := s.sender.settings.Timer.Now()
	server, found := s.table.Forward(r.GetServer(), r.GetLife(), now)
	if !found {
		return failed(&lovageyard.RequestError{
			Verdict: lovageyard.VerdictNotRun, Reason: "the backend server gets no requests from this instance", Throttled: true,
		}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	request := s.request(r, server)
	request.Reserve = s.replyReserve(ctx, r.GetBody())
	response, err := s.sender.SendDirect(ctx, request)
	if err != nil {
		return s.failure(err), nil
	}
	return &wire.AttemptReply{Status: int32(response.Status), Header: encodeHeader(response.Header), Body: response.Body}, nil
}

// begin reports whether an attempt may be made, and counts it.
func (s *Server) begin() bool {
	view := s.sender.settings.Source.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.running >= maxAttempts || view.Leaving || view.Refusing || !s.sender.path.IsDirect() {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.idle.Broadcast()
}

// Close waits until the attempts under way have ended, or ctx is done.
func (s *Server) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.idle.Broadcast)
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for s.running > 0 && ctx.Err() == nil {
		s.idle.Wait()
	}
}

// request returns the attempt to be made. It is not sent again on a new connection, as the budget for that is
// the caller's.
func (s *Server) request(r *wire.AttemptRequest, server lovageyard.BackendServer) link.Request {
	return link.Request{
		Method:        r.GetMethod(),
		Target:        r.GetTarget(),
		Host:          r.GetHost(),
		Header:        decodeHeader(r.GetHeader()),
		Body:          r.GetBody(),
		ID:            r.GetId(),
		Idempotent:    r.GetIdempotent(),
		MaySend:       func() bool { return s.table.MayForward(server, s.sender.settings.Timer.Now()) },
		Server:        server.Name,
		Incarnation:   server.Incarnation,
		ServerAddress: server.Address,
		ServerDomain:  server.FailureDomain,
		ServerRegion:  server.Region,
	}
}

// failure returns the reply for a failed attempt. If this instance has lost its own path and the request has
// not run, another peer may be able to send it.
func (s *Server) failure(err error) *wire.AttemptReply {
	var failure *lovageyard.RequestError
	if !errors.As(err, &failure) {
		failure = lovageyard.MayHaveRun("the backend server did not answer", err)
	}
	if failure.Verdict == lovageyard.VerdictNotRun && !s.sender.path.IsDirect() {
		return unavailable(failure.Error())
	}
	return failed(failure)
}

func failed(f *lovageyard.RequestError) *wire.AttemptReply {
	return &wire.AttemptReply{Failure: &wire.Failure{
		Verdict:        string(f.Verdict),
		Reason:         f.Error(),
		ConnectionLost: f.ConnectionLost,
		ServerExited:   f.ServerExited,
		Throttled:      f.Throttled,
	}}
}

func unavailable(reason string) *wire.AttemptReply {
	return &wire.AttemptReply{Failure: &wire.Failure{Verdict: string(lovageyard.VerdictNotRun), Reason: reason, Unavailable: true}}
}

// Handler returns the HTTP handler of the service, which only other instances may call.
func (s *Server) Handler() http.Handler {
	service := s.withMemory(transfer.LimitRequests(wire.NewDetourServer(s), maxMessageBytes, messageTimeout))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isInstance(r.RemoteAddr) {
			s.sender.settings.Logger.WithField("address", r.RemoteAddr).Warn("an attempt for an unknown caller was rejected")
			// A failure to write the rejection is the caller's.
			_ = twirp.WriteError(w, twirp.NewError(twirp.PermissionDenied, "the caller is not a known instance"))
			return
		}
		if r.ContentLength < 0 {
			// Memory is reserved by the length. A failure to write the rejection is the caller's.
			_ = twirp.WriteError(w, twirp.NewError(twirp.InvalidArgument, "Content-Length: missing"))
			return
		}
		service.ServeHTTP(w, r)
	})
}

// isInstance reports whether a known instance runs at the host of an address.
func (s *Server) isInstance(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	view := s.sender.settings.Source.View()
	for _, m := range view.Instances {
		if hostOf(m.PeerAddress) == host {
			return true
		}
	}
	for _, m := range view.Live {
		if hostOf(m.PeerAddress) == host {
			return true
		}
	}
	return false
}

// hostOf returns the host of an address, or "".
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
