package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/decision"
	"lovageyard.example/lovageyard/detour"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/freshness"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/pipeline"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/quota"
	"lovageyard.example/lovageyard/settings"
	"lovageyard.example/lovageyard/timer"
	"lovageyard.example/lovageyard/utilisation"
)

// Limits and periods of an edge instance.
const (
	// memoryLimitShare is the share of the process's memory limit that is set as the soft memory limit
	// of the Go runtime.
	memoryLimitShare = 0.7
	bytesPerMiB      = 1 << 20
	// checkPeriod is the period of the checks for expired idle connections and changed settings, and
	// of the updates of the gauges.
	checkPeriod = time.Second
	// Shares of the LeaveWithin setting: a leaving instance refuses new requests after
	// refuseAfterShare of it, and closes the remaining connections after closeAfterShare of it.
	refuseAfterShare = 0.5
	closeAfterShare  = 0.93
)

// edge is a running entry instance in edge mode, on a platform with a change feed.
type edge struct {
	options      edgeOptions
	logger       *logrus.Logger
	sink         *decision.Sink
	timer        lovageyard.Timer
	meters       *meter.Set
	process      *utilisation.Process
	shares       *entry.Shares
	store        *platform.Store
	peers        *peer.Client
	link         *link.Transport
	dispatch     *dispatch.Table
	quarantine   *quarantine.Monitor
	sender       *detour.Sender
	detours      *detour.Server
	control      *fleet.Control
	limiter      *quota.Limiter
	pipeline     *pipeline.Pipeline
	memory       *footprint.Pool
	callerServer *http.Server
	otherServers []*http.Server
	// version is the configuration's version at the last update of the gauges, and versionSince
	// the time of the first update that had it.
	version      uint64
	versionSince time.Time
}

// runEdge serves until SIGTERM or SIGINT. SIGHUP, or a change of the settings file, reloads the
// settings.
func runEdge(o edgeOptions) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	e, err := startEdge(o)
	if err != nil {
		return err
	}
	ticker := e.timer.Subscribe(checkPeriod)
	defer ticker.Close()
	file := newSettingsFile(os.Getenv(platform.SettingsVariable))
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				e.leave()
				return nil
			}
			e.reload("signal")
		case now := <-ticker.C():
			e.link.CloseExpired(now)
			e.updateGauges(now)
			e.shares.Report(now)
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
	if o.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(o.MemoryMB) * bytesPerMiB))
	}
	sockets, err := o.listen()
	if err != nil {
		return nil, err
	}
	clock := timer.Clock{}
	self := lovageyard.EntryInstance{
		Name:          o.Instance,
		Incarnation:   clock.Now().UnixNano(),
		FailureDomain: o.FailureDomain,
		Region:        o.Region,
		CallerAddress: sockets.callers.Addr().String(),
		PeerAddress:   sockets.peers.Addr().String(),
		State:         lovageyard.StateLive,
		LinkMbps:      o.LinkMbps,
	}
	sink := decision.NewSink(os.Stdout)
	// Hooks run in this order: the instance's name must be added before the sink formats the line.
	logger.AddHook(instanceHook{instance: o.Instance})
	sink.Attach(logger)
	e := &edge{options: o, logger: logger, sink: sink, timer: clock, meters: meter.NewSet(), process: &utilisation.Process{}}
	e.assemble(self)
	e.control.Start()
	e.limiter.Start()
	e.serveAll(sockets)
	logger.WithFields(logrus.Fields{
		"failure-domain":  self.FailureDomain,
		"region":          self.Region,
		"caller-address":  self.CallerAddress,
		"peer-address":    self.PeerAddress,
		"ready-address":   sockets.ready.Addr().String(),
		"look-up-address": sockets.lookUps.Addr().String(),
	}).Info("started")
	return e, nil
}

func (e *edge) assemble(self lovageyard.EntryInstance) {
	o := e.options
	e.shares = &entry.Shares{Window: o.ShiftWindow, Logger: e.logger, Metrics: e.meters}
	e.memory = o.memoryPool()
	e.store = platform.NewStore(o.PlatformAddress, e.logger)
	e.peers = peer.NewClient()
	e.dispatch = dispatch.NewTable(dispatch.Settings{
		Self:          o.Instance,
		FailureDomain: o.FailureDomain,
		Region:        o.Region,
		DemandShare:   o.localDemandShare(),
		Bounds:        o.bounds(),
		Seed:          uint64(self.Incarnation),
		StartedAt:     e.timer.Now(),
		IsListed:      func() bool { return e.control.IsListed() },
	})
	observer := &entry.BackpressureObserver{Dispatch: e.dispatch, Timer: e.timer, Logger: e.logger}
	e.link = link.New(platform.Headers{}, e.timer, observer)
	e.sender = detour.NewSender(detour.Settings{
		Self:     o.Instance,
		Region:   o.Region,
		Direct:   e.link,
		Source:   viewFunc(func() *catalog.View { return e.control.View() }),
		Codec:    platform.Headers{},
		Observer: observer,
		Timer:    e.timer,
		Logger:   e.logger,
		Metrics:  e.meters,
		Memory:   e.memory,
		Changed:  e.pathChanged,
	})
	e.detours = detour.NewServer(e.sender, e.dispatch)
	e.quarantine = quarantine.NewMonitor(quarantine.Settings{Prober: e.sender, Timer: e.timer, Logger: e.logger, Metrics: e.meters})
	e.control = fleet.New(fleet.Settings{
		Self:        self,
		Feed:        e.store,
		Registrar:   e.store,
		Decoder:     platform.Decoder{Regions: o.Regions},
		Peers:       e.peers,
		Observer:    e.dispatch,
		Quarantine:  e.quarantine,
		Timer:       e.timer,
		Logger:      e.logger,
		Metrics:     e.meters,
		Utilisation: utilisation.NewMeter(e.process, utilisation.Capacity{Cores: o.CPUQuota, LinkMbps: o.LinkMbps}),
		Seeds:       o.PeerAddresses,
		Seed:        uint64(self.Incarnation),

		MaxConfirmationAge: o.RevokeWithin,
		ChangeWithin:       o.changeWithin(),
	})
	e.limiter = quota.NewLimiter(quota.Settings{
		Self:    o.Instance,
		Bound:   quota.Bound{Window: o.QuotaWindow, Excess: o.QuotaExcess, Slack: o.QuotaSlack},
		Source:  e.control,
		Peers:   e.peers,
		Timer:   e.timer,
		Logger:  e.logger,
		Metrics: e.meters,
	})
}

// viewFunc is a detour.Source that reads the view of a control loop which is created later.
type viewFunc func() *catalog.View

// View returns the current view.
func (f viewFunc) View() *catalog.View {
	return f()
}

// edgeSockets holds the listening sockets of an edge instance; metrics is nil if not configured.
type edgeSockets struct {
	callers net.Listener
	ready   net.Listener
	lookUps net.Listener
	peers   net.Listener
	metrics net.Listener
}

// listen opens all sockets. The error names the setting of the address that failed.
func (o *edgeOptions) listen() (*edgeSockets, error) {
	s := &edgeSockets{}
	var opened []net.Listener
	for _, socket := range []struct {
		setting string
		address string
		into    *net.Listener
	}{
		{"caller-address", o.CallerAddress, &s.callers},
		{"ready-address", o.ReadyAddress, &s.ready},
		{"look-up-address", o.LookUpAddress, &s.lookUps},
		{"peer-address", o.PeerAddress, &s.peers},
		{"metrics-address", o.MetricsAddress, &s.metrics},
	} {
		if socket.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			for _, l := range opened {
				l.Close()
			}
			return nil, errors.Wrap(err, "--"+socket.setting)
		}
		*socket.into = listener
		opened = append(opened, listener)
	}
	return s, nil
}

// updateGauges updates all metrics that are gauges.
func (e *edge) updateGauges(now time.Time) {
	view := e.control.View()
	if version := view.Version(); version != e.version {
		e.version = version
		e.versionSince = now
	}
	stats := e.dispatch.Stats(now)
	dropped := e.sink.Dropped()
	e.meters.Update(meter.ConnectionsOpened, e.link.Opened())
	e.meters.Update(meter.ServersKnown, int64(stats.Servers))
	e.meters.Update(meter.ServersSuspect, int64(stats.Suspects))
	e.meters.Update(meter.ServersLimited, int64(stats.Limited))
	e.meters.Update(meter.ServersLeaving, int64(stats.Leaving))
	e.meters.Update(meter.ServersBackingOff, int64(stats.BackingOff))
	e.meters.Update(meter.InFlight, int64(stats.InFlight))
	e.meters.Update(meter.ConfigurationVersion, int64(view.Version()))
	e.meters.Update(meter.ConfigurationAge, now.Sub(e.versionSince).Milliseconds())
	e.meters.Update(meter.ConfirmationAge, ageMillis(e.control.ConfirmationAge()))
	e.meters.Update(meter.ContactAge, ageMillis(e.control.ContactAge()))
	e.meters.Update(meter.AccountsNearLimit, int64(e.limiter.MeteredCount()))
	e.meters.Update(meter.InstancesLive, int64(len(view.Live)))
	e.meters.Update(meter.LogDroppedRoutine, dropped.Routine)
	e.meters.Update(meter.LogDroppedOther, dropped.Other)
	if e.memory != nil {
		held := e.memory.Stats()
		e.meters.Update(meter.MemoryBudget, held.Limit)
		e.meters.Update(meter.MemoryHeld, held.Used)
		e.meters.Update(meter.MemoryHeldLarge, held.Large)
		e.meters.Update(meter.MemoryWaiting, int64(held.Waiting))
	}
	for service, share := range stats.RemoteShares {
		e.meters.Update(meter.ShareElsewhere, int64(1000*share), service)
	}
	for service, overloaded := range stats.Overloaded {
		value := int64(0)
		if overloaded {
			value = 1
		}
		e.meters.Update(meter.Overloaded, value, service)
	}
	for service, share := range stats.SecondHomeShares {
		e.meters.Update(meter.SecondHomeShare, int64(1000*share), service)
	}
	e.meters.Update(meter.ServersSlow, int64(stats.Slow))
}

// ageMillis returns an age in milliseconds, or -1 if it is freshness.Unknown.
func ageMillis(age time.Duration) int64 {
	if age == freshness.Unknown {
		return -1
	}
	return age.Milliseconds()
}

func (e *edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.meters.Write(w)
}

// leave shuts down gracefully within the LeaveWithin setting. It withdraws the instance from look-ups,
// serves while callers may still have a cached response that contains it, then refuses new requests,
// waits for those in flight, and closes everything.
func (e *edge) leave() {
	e.logger.Info("leaving")
	startedAt := e.timer.Now()
	closeAt := startedAt.Add(time.Duration(closeAfterShare * float64(e.options.LeaveWithin)))
	// Responses close their connections from now on, so that no request behind them may be sent to a server.
	e.pipeline.Stop()
	e.control.Leave(closeAt)
	e.wait(time.Duration(refuseAfterShare * float64(e.options.LeaveWithin)))
	e.control.RefuseRequests()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), closeAt.Sub(e.timer.Now()))
	defer cancel()
	e.pipeline.Drain(shutdownCtx)
	if err := e.callerServer.Shutdown(shutdownCtx); err != nil {
		e.logger.WithError(err).Warn("closing connections with requests still in flight")
		e.callerServer.Close()
	}
	e.pipeline.Close(shutdownCtx)
	e.detours.Close(shutdownCtx)
	e.limiter.Close()
	e.control.Close()
	e.quarantine.Close()
	e.sender.Close()
	for _, s := range e.otherServers {
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
