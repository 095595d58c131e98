package main

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/lookup"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/pipeline"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/transfer"
)

// Limits of the edge servers.
const (
	// edgeHeaderTimeout limits the time to read a request's headers.
	edgeHeaderTimeout = 10 * time.Second
	// edgeIdleTimeout is longer than callers keep idle connections for reuse.
	edgeIdleTimeout = 90 * time.Second
	// edgeMaxHeaderBytes limits the size of a request's headers; net/http adds 4 KiB.
	edgeMaxHeaderBytes = 16 << 10
	// maxPeerRequestBytes limits the requests of peers, which carry heartbeats, cursors and reports but no rows.
	maxPeerRequestBytes = 1 << 20
	// peerRequestTimeout limits the time to read them.
	peerRequestTimeout = 10 * time.Second
)

// serveAll starts to serve on all sockets.
func (e *edge) serveAll(s *edgeSockets) {
	o := e.options
	handler := entry.NewHandler(entry.Settings{
		Source:      e.control,
		Codec:       platform.Headers{},
		Sender:      e.sender,
		Dispatch:    e.dispatch,
		Quarantine:  e.quarantine,
		Quota:       e.limiter,
		Timer:       e.timer,
		Logger:      e.logger,
		Metrics:     e.meters,
		Shares:      e.shares,
		Memory:      e.memory,
		MinBodyRate: o.MinBodyRate,
		Limits:      o.ageLimits(),
		MayClose:    pipeline.MayClose,
	})
	e.callerServer = newEdgeServer(handler)
	if o.MinBodyRate > 0 {
		e.callerServer.ConnContext = entry.ConnContext
	}
	e.pipeline = pipeline.New(pipeline.Settings{Handler: handler, Logger: e.logger, Metrics: e.meters})
	e.pipeline.Attach(e.callerServer)
	e.serve(e.pipeline.Listener(e.process.Listen(s.callers)), e.callerServer)
	e.serveOther(s.ready, &entry.Readiness{Source: e.control})
	e.serveOther(s.lookUps, &entry.Directory{
		Source:   e.control,
		KeepFor:  min(o.KeepFor, o.KeepForMax),
		Selector: lookup.NewSelector(),

		Utilisation: e.control,
		Timer:       e.timer,
		Logger:      e.logger,
		Metrics:     e.meters,
	})
	e.serveOther(s.peers, e.peerServices())
	if s.metrics != nil {
		e.serveOther(s.metrics, http.HandlerFunc(e.writeMetrics))
	}
}

// peerServices returns the handler of the RPC services that peers call.
func (e *edge) peerServices() http.Handler {
	services := http.NewServeMux()
	for _, s := range []wire.TwirpServer{wire.NewFleetServer(e.control), wire.NewQuotaServer(e.limiter)} {
		services.Handle(s.PathPrefix(), transfer.LimitRequests(s, maxPeerRequestBytes, peerRequestTimeout))
	}
	services.Handle(wire.DetourPathPrefix, e.detours.Handler())
	return services
}

// pathChanged is called when this instance no longer reaches any backend server, and when it does again.
func (e *edge) pathChanged(lost bool) {
	if lost {
		e.dispatch.ForgetFailures()
	}
	e.control.SetIsolated(lost)
}

func (e *edge) serveOther(l net.Listener, h http.Handler) {
	server := newEdgeServer(h)
	e.otherServers = append(e.otherServers, server)
	e.serve(l, server)
}

func newEdgeServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: edgeHeaderTimeout,
		IdleTimeout:       edgeIdleTimeout,
		MaxHeaderBytes:    edgeMaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

func (e *edge) serve(l net.Listener, s *http.Server) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.logger.WithError(err).WithField("address", l.Addr().String()).Error("a listener failed")
		}
	}()
}
