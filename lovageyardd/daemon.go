package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/caller"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/control"
	"lovageyard.example/lovageyard/decision"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/operator"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/server"
	"lovageyard.example/lovageyard/settings"
	"lovageyard.example/lovageyard/timer"
	"lovageyard.example/lovageyard/transfer"
)

// Limits and timeouts of the HTTP servers and of shutdown.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	closeTimeout   = 5 * time.Second
	// leaveMargin is added to the time for which a leaving instance still serves, which is how long
	// callers may cache a look-up's response.
	leaveMargin = time.Second
)

// daemon is a running entry instance in serve mode.
type daemon struct {
	options        options
	logger         *logrus.Logger
	timer          lovageyard.Timer
	control        *control.Control
	link           *link.Transport
	platform       *platform.Store
	peers          *peer.Client
	charges        *charge.Store
	callerServer   *http.Server
	peerServer     *http.Server
	operatorServer *http.Server
}

// listeners holds the three listening sockets of a daemon.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

func listen(o options) (listeners, error) {
	var l listeners
	for _, s := range []struct {
		setting string
		address string
		into    *net.Listener
	}{
		{"caller-address", o.CallerAddress, &l.callers},
		{"peer-address", o.PeerAddress, &l.peers},
		{"operator-address", o.OperatorAddress, &l.operators},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			l.close()
			return l, errors.Wrap(err, "--"+s.setting)
		}
		*s.into = listener
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			listener.Close()
		}
	}
}

// start opens the listeners and starts to serve. It prints the instance's description, with the
// addresses that it listens on, as one JSON line to standard output.
func start(o options) (*daemon, error) {
	logger, err := settings.Logger(o.LogLevel, o.LogFormat)
	if err != nil {
		return nil, err
	}
	l, err := listen(o)
	if err != nil {
		return nil, err
	}
	clock := timer.Clock{}
	self := lovageyard.EntryInstance{
		Name:            o.Instance,
		Incarnation:     clock.Now().UnixNano(),
		FailureDomain:   o.FailureDomain,
		Region:          o.Region,
		CallerAddress:   l.callers.Addr().String(),
		PeerAddress:     l.peers.Addr().String(),
		OperatorAddress: l.operators.Addr().String(),
		State:           lovageyard.StateLive,
	}
	d := assemble(o, self, logger, clock)
	d.control.Start()
	d.serve(d.callerServer, l.callers)
	d.serve(d.peerServer, l.peers)
	d.serve(d.operatorServer, l.operators)
	logger.WithFields(logrus.Fields{
		"instance":         self.Name,
		"caller-address":   self.CallerAddress,
		"peer-address":     self.PeerAddress,
		"operator-address": self.OperatorAddress,
	}).Info("serving")
	return d, errors.Wrap(json.NewEncoder(os.Stdout).Encode(self), "announce")
}

func assemble(o options, self lovageyard.EntryInstance, logger *logrus.Logger, clock lovageyard.Timer) *daemon {
	d := &daemon{
		options:  o,
		logger:   logger,
		timer:    clock,
		link:     link.New(link.LoadHeaderCodec{}, clock, nil),
		platform: platform.NewStore(o.PlatformAddress, logger),
		peers:    peer.NewClient(),
	}
	registry := metrics.NewRegistry()
	recorder := decision.NewLog(logger)
	d.charges = charge.NewStore(d.platform, clock, fmt.Sprintf("%s/%d", self.Name, self.Incarnation), charge.WithLogger(logger))
	d.control = control.New(control.Settings{
		Self:          self,
		Table:         d.platform,
		Eras:          d.charges,
		Objects:       d.platform,
		Instances:     d.platform,
		Backend:       d.link,
		Peers:         d.peers,
		Timer:         clock,
		Recorder:      recorder,
		Logger:        logger,
		Metrics:       registry,
		SeedPeers:     o.PeerAddresses,
		LookUpTTL:     o.KeepFor,
		Headroom:      o.Headroom,
		Pool:          server.Settings{Mode: server.Mode(o.Choice), QueuePerSlot: o.QueuePerSlot},
		Latencies:     placement.Latencies{SameRegion: o.SameRegionDelay, OtherRegion: o.OtherRegionDelay},
		LeaseDuration: o.LeaseSpan,
		Seed:          uint64(self.Incarnation),
	})
	handler := caller.NewHandler(caller.Settings{
		Source:   d.control,
		Observer: d.control,
		Charges:  d.charges,
		Backend:  d.link,
		Timer:    clock,
		Recorder: recorder,
		Metrics:  registry,
		Self:     self,
	})
	d.callerServer = newServer(handler)
	d.peerServer = newServer(transfer.LimitRequests(wire.NewPeersServer(d.control), maxPeerRequestBytes, peerRequestTimeout))
	d.operatorServer = newServer(operator.NewHandler(d.control, d.platform, clock, registry))
	return d
}

// closeExpiredUntil periodically closes expired idle connections to servers until leave is closed.
func (d *daemon) closeExpiredUntil(leave <-chan struct{}) {
	ticker := d.timer.Subscribe(checkPeriod)
	defer ticker.Close()
	for {
		select {
		case now := <-ticker.C():
			d.link.CloseExpired(now)
		case <-leave:
			return
		}
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

func (d *daemon) serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.logger.WithError(err).Error("a listener failed")
		}
	}()
}

// stop shuts down gracefully. It withdraws the instance from look-ups, serves while callers may still
// have a cached response that contains it, waits for the requests in flight, and closes everything.
// Canceling abort ends the waits.
func (d *daemon) stop(abort context.Context) error {
	d.logger.Info("leaving")
	d.control.Leave()
	cacheExpiry := d.timer.After(d.options.KeepFor + leaveMargin)
	defer cacheExpiry.Close()
	select {
	case <-cacheExpiry.C():
	case <-abort.Done():
	}
	err := d.drainCallers(abort)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = d.operatorServer.Shutdown(shutdownCtx)
	_ = d.peerServer.Shutdown(shutdownCtx)
	d.charges.Close()
	d.control.Close()
	d.link.Close()
	d.platform.Close()
	d.peers.Close()
	d.logger.Info("stopped")
	return err
}

// drainCallers waits for the callers' requests in flight, at most for the longest deadline of a
// class and a margin.
func (d *daemon) drainCallers(abort context.Context) error {
	shutdownCtx, cancel := context.WithTimeout(abort, d.longestDeadline())
	defer cancel()
	err := d.callerServer.Shutdown(shutdownCtx)
	if abort.Err() != nil {
		d.callerServer.Close()
		return nil
	}
	return errors.Wrap(err, "requests in flight")
}

func (d *daemon) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.control.Snapshot().Classes.All() {
		longest = max(longest, c.Deadline.Std())
	}
	return min(longest+closeTimeout, class.MaxDeadline)
}
