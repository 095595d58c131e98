package main

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/decision"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/settings"
	"lovageyard.example/lovageyard/timer"
)

// Limits of an edge instance.
const (
	// memoryShare is the part of the memory limit that the heap may grow to.
	memoryShare = 0.7
	bytesPerMB  = 1 << 20
	// edgeHeaderTimeout bounds how long a caller may take over a request's headers.
	edgeHeaderTimeout = 10 * time.Second
	// edgeIdleTimeout is longer than callers keep idle connections in use.
	edgeIdleTimeout = 90 * time.Second
	// edgeMaxHeaderBytes is what callers' headers may take; net/http adds 4 KiB.
	edgeMaxHeaderBytes = 16 << 10
	// expireEvery is the period at which idle connections are looked through.
	expireEvery = time.Second
	// Parts of the time to leave: requests are taken until refuseAfter of it has passed,
	// and connections are closed by force after closeAfter of it.
	refuseAfter = 0.5
	closeAfter  = 0.93
)

// edge is a running entry instance on a platform with a feed.
type edge struct {
	options  edgeOptions
	logger   *logrus.Logger
	sink     *decision.Sink
	timer    lovageyard.Timer
	registry metrics.Registry
	store    *platform.Store
	peers    *peer.Client
	link     *link.Link
	dispatch *dispatch.Table
	control  *fleet.Control
	callers  *http.Server
	others   []*http.Server
}

// runEdge serves until SIGTERM; SIGHUP reads the settings anew.
func runEdge(o edgeOptions) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	e, err := startEdge(o)
	if err != nil {
		return err
	}
	watch := e.timer.Subscribe(expireEvery)
	defer watch.Close()
	file := newSettingsFile(os.Getenv(platform.SettingsVariable))
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				e.leave()
				return nil
			}
			e.reload("signal")
		case now := <-watch.C():
			e.link.Expire(now)
			if file.changed() {
				e.reload("file changed")
			}
		}
	}
}

func startEdge(o edgeOptions) (*edge, error) {
	logger, err := settings.Logger(o.LogLevel, o.LogFormat)
	if err != nil {
		return nil, err
	}
	sink := decision.NewSink(os.Stdout)
	logger.SetOutput(sink)
	if o.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(o.MemoryMB) * bytesPerMB))
	}
	clock := timer.Clock{}
	self := lovageyard.EntryInstance{
		Name:          o.Instance,
		Life:          clock.Now().UnixNano(),
		FailureDomain: o.FailureDomain,
		Region:        o.Region,
		CallerAddress: o.CallerAddress,
		PeerAddress:   o.PeerAddress,
		State:         lovageyard.StateLive,
	}
	e := &edge{options: o, logger: logger, sink: sink, timer: clock, registry: metrics.NewRegistry()}
	e.assemble(self)
	if err := e.listen(); err != nil {
		sink.Close()
		return nil, err
	}
	e.control.Start()
	logger.WithFields(logrus.Fields{
		"instance":       self.Name,
		"failure-domain": self.FailureDomain,
		"caller-address": self.CallerAddress,
	}).Info("started")
	return e, nil
}

func (e *edge) assemble(self lovageyard.EntryInstance) {
	o := e.options
	e.store = platform.NewStore(o.PlatformAddress)
	e.peers = peer.NewClient()
	e.link = link.New(platform.Headers{}, e.timer)
	retries, cold := o.bounds()
	e.dispatch = dispatch.NewTable(dispatch.Settings{
		Self:          o.Instance,
		FailureDomain: o.FailureDomain,
		Region:        o.Region,
		Demand:        o.demand(),
		Retries:       retries,
		Cold:          cold,
		Seed:          uint64(self.Life),
	})
	e.control = fleet.New(fleet.Settings{
		Self:      self,
		Feed:      e.store,
		Registrar: e.store,
		Decoder:   platform.Decoder{Regions: o.Regions},
		Peers:     e.peers,
		Follower:  e.dispatch,
		Timer:     e.timer,
		Logger:    e.logger,
		Metrics:   e.registry,
		Seeds:     o.PeerAddresses,
		Seed:      uint64(self.Life),
	})
}

// listen opens all listeners and begins to serve.
func (e *edge) listen() error {
	handler := entry.NewHandler(entry.Parts{
		Source:   e.control,
		Codec:    platform.Headers{},
		Sender:   e.link,
		Dispatch: e.dispatch,
		Timer:    e.timer,
		Logger:   e.logger,
		Metrics:  e.registry,
	})
	o := e.options
	e.callers = edgeServer(handler)
	if err := e.serve("caller-address", o.CallerAddress, e.callers); err != nil {
		return err
	}
	for _, s := range []struct {
		setting string
		address string
		handler http.Handler
	}{
		{"ready-address", o.ReadyAddress, &entry.Readiness{Source: e.control}},
		{"look-up-address", o.LookUpAddress, &entry.Directory{Source: e.control, KeepFor: min(o.KeepFor, o.KeepForMax)}},
		{"peer-address", o.PeerAddress, wire.NewFleetServer(e.control)},
		{"metrics-address", o.MetricsAddress, http.HandlerFunc(e.writeMetrics)},
	} {
		if s.address == "" {
			continue
		}
		server := edgeServer(s.handler)
		if err := e.serve(s.setting, s.address, server); err != nil {
			return err
		}
		e.others = append(e.others, server)
	}
	return nil
}

func edgeServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: edgeHeaderTimeout,
		IdleTimeout:       edgeIdleTimeout,
		MaxHeaderBytes:    edgeMaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

func (e *edge) serve(setting, address string, s *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "--"+setting)
	}
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.WithError(err).WithField("setting", setting).Error("a listener failed")
		}
	}()
	return nil
}

func (e *edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(e.registry, w)
}

// leave takes the instance out of look-ups, serves on while callers may still hold an
// answer that names it, then refuses new requests, lets those in flight end, and closes.
func (e *edge) leave() {
	e.logger.Info("leaving")
	began := e.timer.Now()
	e.control.Leave()
	e.wait(time.Duration(refuseAfter * float64(e.options.LeaveWithin)))
	e.control.Refuse()
	left := time.Duration(closeAfter*float64(e.options.LeaveWithin)) - e.timer.Now().Sub(began)
	bound, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := e.callers.Shutdown(bound); err != nil {
		e.logger.WithError(err).Warn("requests were still in flight")
		e.callers.Close()
	}
	e.control.Close()
	for _, s := range e.others {
		s.Close()
	}
	e.link.Close()
	e.peers.Close()
	e.store.Close()
	e.logger.Info("stopped")
	e.sink.Close()
}

func (e *edge) wait(d time.Duration) {
	after := e.timer.After(d)
	defer after.Close()
	<-after.C()
}
