package detour

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
)

// Parameters of the probes that detect the end of a partition.
const (
	probeInterval = 500 * time.Millisecond
	// probeCount is the number of servers that are probed at a time, and minReached the number that must
	// accept a connection: one may be the only server that can be reached.
	probeCount = 3
	minReached = 2
)

// Direct sends requests to servers on the direct path; see link.Transport.
type Direct interface {
	Send(ctx context.Context, r link.Request) (*link.Response, error)
	Forget(server string)
	Connect(ctx context.Context, server lovageyard.BackendServer) error
	RefusesConnections(ctx context.Context, server lovageyard.BackendServer) bool
}

// Source provides the current view of instances and servers.
type Source interface {
	View() *catalog.View
}

// Settings are the dependencies of a Sender; all but Memory are required.
type Settings struct {
	// Self is the name of this instance, which runs in Region.
	Self   string
	Region string
	Direct Direct
	Source Source
	// Codec reads the metadata of responses that peers pass on, and Observer is notified of the
	// backpressure in them.
	Codec    link.Codec
	Observer link.Observer
	Timer    lovageyard.Timer
	Logger   *logrus.Logger
	Metrics  *meter.Set
	// Memory bounds the bytes that are held for attempts for peers; nil means that nothing does.
	Memory *footprint.Pool
	// Changed is called when the direct path is lost, and when it is regained.
	Changed func(lost bool)
}

// Sender sends requests to backend servers, on the direct path or through peers. It is safe for concurrent
// use.
type Sender struct {
	settings Settings
	path     *Path
	peers    *peers
	client   *http.Client

	context context.Context
	cancel  context.CancelFunc
	probes  sync.WaitGroup
}

// NewSender returns a Sender; Close releases its resources.
func NewSender(s Settings) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		settings: s,
		path:     NewPath(s.Logger, s.Metrics, s.Changed),
		peers:    newPeers(s),
		client:   newClient(),
		context:  ctx,
		cancel:   cancel,
	}
}

// Close ends the probes and waits for them. It must not be called while requests are sent.
func (s *Sender) Close() {
	s.cancel()
	s.probes.Wait()
	s.client.CloseIdleConnections()
}

// Forget closes the idle connections to a server.
func (s *Sender) Forget(server string) {
	s.settings.Direct.Forget(server)
}

// Send makes one attempt at a server. The error is a *lovageyard.RequestError.
func (s *Sender) Send(ctx context.Context, r link.Request) (*link.Response, error) {
	if !s.path.IsDirect() && s.peers.any(r) {
		return s.sendThroughPeers(ctx, r)
	}
	response, err := s.SendDirect(ctx, r)
	var failure *lovageyard.RequestError
	if !errors.As(err, &failure) || failure.Verdict != lovageyard.VerdictNotRun || !failure.ServerExited || !s.peers.any(r) {
		return response, err
	}
	// Connections may be refused on the way: a peer finds out whether the server has exited.
	return s.sendThroughPeers(ctx, r)
}

// SendDirect makes one attempt on the direct path.
func (s *Sender) SendDirect(ctx context.Context, r link.Request) (*link.Response, error) {
	response, err := s.settings.Direct.Send(ctx, r)
	s.record(ctx, r.Server, err)
	return response, err
}

// record records what an attempt shows about the direct path.
func (s *Sender) record(ctx context.Context, server string, err error) {
	now := s.settings.Timer.Now()
	var failure *lovageyard.RequestError
	switch {
	case err == nil, errors.As(err, &failure) && failure.BrokenAnswer:
		s.path.RecordAnswer(now)
	case ctx.Err() != nil, failure != nil && failure.Throttled:
		// The attempt was given up, or not made.
	case s.path.RecordFailure(server, now):
		s.probes.Go(s.regain)
	}
}

// regain probes servers until the direct path works again.
func (s *Sender) regain() {
	ticker := s.settings.Timer.Subscribe(probeInterval)
	defer ticker.Close()
	for !s.reachesServers(s.context) {
		select {
		case <-ticker.C():
		case <-s.context.Done():
			return
		}
	}
	s.path.Regain(s.settings.Timer.Now())
}

// reachesServers opens connections to a few servers, and reports whether most of them accept.
func (s *Sender) reachesServers(ctx context.Context) bool {
	servers := s.probedServers("")
	return len(servers) > 0 && s.connect(ctx, servers) >= min(minReached, len(servers))
}

// connect opens a connection to each server, and returns how many accept.
func (s *Sender) connect(ctx context.Context, servers []lovageyard.BackendServer) int {
	results := make(chan error, len(servers))
	for _, b := range servers {
		go func() { results <- s.settings.Direct.Connect(ctx, b) }()
	}
	reached := 0
	for range servers {
		if <-results == nil {
			reached++
		}
	}
	return reached
}

// probedServers returns up to probeCount random servers other than the excluded one, in different failure
// domains if possible.
func (s *Sender) probedServers(excluded string) []lovageyard.BackendServer {
	view := s.settings.Source.View()
	var chosen, others []lovageyard.BackendServer
	domains := make(map[string]bool)
	for _, i := range rand.Perm(len(view.Servers)) {
		b := view.Servers[i].BackendServer
		switch {
		case b.Name == excluded || b.State != lovageyard.StateLive:
		case domains[b.FailureDomain]:
			others = append(others, b)
		default:
			domains[b.FailureDomain] = true
			chosen = append(chosen, b)
		}
	}
	chosen = append(chosen, others...)
	return chosen[:min(probeCount, len(chosen))]
}

// RefusesConnections reports whether a server's port refuses connections although this instance reaches other
// servers; connections to all servers are refused if the network does so.
func (s *Sender) RefusesConnections(ctx context.Context, server lovageyard.BackendServer) bool {
	if !s.settings.Direct.RefusesConnections(ctx, server) {
		return false
	}
	others := s.probedServers(server.Name)
	return len(others) == 0 || s.connect(ctx, others) > 0
}
