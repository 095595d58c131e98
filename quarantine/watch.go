package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
)

// Bounds of probes and log lines.
const (
	// probeAttempts is how often a server that closed connections is probed, and probeInterval the time
	// between two probes: a crashing server may close its connections shortly before its listening port.
	probeAttempts = 2
	probeInterval = 200 * time.Millisecond
	// maxLogged bounds the number of fingerprints in a log line.
	maxLogged = 16
)

// Prober checks whether backend servers are down.
type Prober interface {
	// RefusesConnections reports whether the server's port refuses connections.
	RefusesConnections(ctx context.Context, server lovageyard.BackendServer) bool
}

// Settings are the dependencies of a Monitor; all of them are required.
type Settings struct {
	Prober  Prober
	Timer   lovageyard.Timer
	Logger  *logrus.Logger
	Metrics *meter.Set
}

// Monitor feeds a Table with the outcomes of attempts at this instance and with the reports of other
// instances. It is safe for concurrent use.
type Monitor struct {
	settings Settings
	table    *Table
	updates  chan struct{}
	context  context.Context
	cancel   context.CancelFunc
	probes   sync.WaitGroup

	mu      sync.Mutex
	probing map[Server]bool
	// logged holds the quarantined requests that have been logged, and newlyQuarantined those that were
	// quarantined by observations of this instance since the last call of NewlyQuarantined.
	logged           map[uint64]bool
	newlyQuarantined []uint64
}

// NewMonitor returns a Monitor with an empty Table. Close releases its resources.
func NewMonitor(s Settings) *Monitor {
	w := &Monitor{
		settings: s,
		table:    NewTable(),
		updates:  make(chan struct{}, 1),
		probing:  make(map[Server]bool),
		logged:   make(map[uint64]bool),
	}
	w.context, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close cancels all probes and waits until they have returned.
func (w *Monitor) Close() {
	// The lock ensures that no probe starts after the context is cancelled.
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.probes.Wait()
}

// Updates returns a channel that receives a value once this instance has observed something that should be
// reported to others.
func (w *Monitor) Updates() <-chan struct{} {
	return w.updates
}

// Evaluate returns the current decision on a request.
func (w *Monitor) Evaluate(request uint64) Decision {
	return w.table.Evaluate(request, w.settings.Timer.Now())
}

// RecordLoss records that a server closed the connection of a request that was sent to it at sentAt. That
// counts against the request only once the server is confirmed to have crashed, as answers get lost and
// connections are reset for other reasons, too.
func (w *Monitor) RecordLoss(server lovageyard.BackendServer, request uint64, sentAt time.Time) {
	unconfirmed, changed := w.table.RecordLoss(incarnationOf(server), request, sentAt, w.settings.Timer.Now())
	if unconfirmed {
		w.probe(server)
	}
	if changed {
		w.notify()
	}
}

// RecordCrash records that a server's port refuses connections, or that another server now uses its address.
func (w *Monitor) RecordCrash(server lovageyard.BackendServer) {
	incarnation := incarnationOf(server)
	requests := w.table.RecordCrash(incarnation, w.settings.Timer.Now())
	if len(requests) == 0 {
		return
	}
	w.settings.Metrics.Count(meter.ServersCrashed, server.Service)
	w.settings.Logger.WithFields(logrus.Fields{
		"server":       server.Name,
		"life":         server.Incarnation,
		"service":      server.Service,
		"requests":     len(requests),
		"fingerprints": formatAll(requests),
	}).Warn("backend server crashed with requests in flight")
	w.notify()
}

// RecordSuccess records that a server answered a request successfully.
func (w *Monitor) RecordSuccess(request uint64) {
	if w.table.RecordSuccess(request, w.settings.Timer.Now()) {
		w.settings.Logger.WithField("fingerprint", Format(request)).Info("request cleared by a success")
		w.notify()
	}
}

// Tick removes expired state. It is to be called periodically.
func (w *Monitor) Tick(now time.Time) {
	w.table.Expire(now)
	w.logQuarantined()
}

// Merge applies a report from another instance. It returns whether the report changed the state.
func (w *Monitor) Merge(r Report) bool {
	if !w.table.Merge(r, w.settings.Timer.Now()) {
		return false
	}
	w.logQuarantined()
	return true
}

// Report returns the whole state that other instances need.
func (w *Monitor) Report() Report {
	return w.table.Report(w.settings.Timer.Now())
}

// ReportSince returns what this instance has recorded or merged since a time.
func (w *Monitor) ReportSince(since time.Time) Report {
	return w.table.ReportSince(since, w.settings.Timer.Now())
}

// Digest returns a hash of the state, which is the same on instances with the same state.
func (w *Monitor) Digest() uint64 {
	return w.table.Digest()
}

// NewlyQuarantined returns the requests that observations of this instance have quarantined since the last
// call.
func (w *Monitor) NewlyQuarantined() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.newlyQuarantined
	w.newlyQuarantined = nil
	return found
}

// ReportFor returns the crashes at which one request was in flight.
func (w *Monitor) ReportFor(request uint64) Report {
	return w.table.ReportFor(request, w.settings.Timer.Now())
}

// notify signals on the updates channel without blocking.
func (w *Monitor) notify() {
	added := w.logQuarantined()
	w.mu.Lock()
	w.newlyQuarantined = append(w.newlyQuarantined, added...)
	w.mu.Unlock()
	select {
	case w.updates <- struct{}{}:
	default:
	}
}

// probe checks in the background whether a server has crashed. At most one probe of a server runs at a time.
func (w *Monitor) probe(server lovageyard.BackendServer) {
	incarnation := incarnationOf(server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probing[incarnation] || w.context.Err() != nil {
		return
	}
	w.probing[incarnation] = true
	w.probes.Go(func() {
		crashed := w.confirmCrash(server)
		w.mu.Lock()
		delete(w.probing, incarnation)
		w.mu.Unlock()
		if crashed {
			w.RecordCrash(server)
		}
	})
}

// confirmCrash probes a server up to probeAttempts times and reports whether it refuses connections.
func (w *Monitor) confirmCrash(server lovageyard.BackendServer) bool {
	for n := range probeAttempts {
		if n > 0 && !w.sleep(probeInterval) {
			return false
		}
		if w.settings.Prober.RefusesConnections(w.context, server) {
			return true
		}
	}
	return false
}

// sleep waits for a duration. It returns false if the Monitor is closed first.
func (w *Monitor) sleep(d time.Duration) bool {
	after := w.settings.Timer.After(d)
	defer after.Close()
	select {
	case <-after.C():
		return true
	case <-w.context.Done():
		return false
	}
}

// logQuarantined logs each request that entered or left the quarantine, and returns those that entered it.
func (w *Monitor) logQuarantined() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	quarantined := make(map[uint64]bool)
	var added []uint64
	for _, h := range w.table.Quarantined() {
		quarantined[h.Request] = true
		if w.logged[h.Request] {
			continue
		}
		added = append(added, h.Request)
		w.settings.Logger.WithFields(logrus.Fields{
			"fingerprint": Format(h.Request),
			"servers":     h.Servers,
			"for-ms":      h.Until.Sub(w.settings.Timer.Now()).Milliseconds(),
		}).Warn("request quarantined: backend servers crash while running it")
	}
	for request := range w.logged {
		if !quarantined[request] {
			w.settings.Logger.WithField("fingerprint", Format(request)).Info("request released from quarantine")
		}
	}
	w.logged = quarantined
	w.settings.Metrics.Update(meter.RequestsQuarantined, int64(len(quarantined)))
	return added
}

func incarnationOf(server lovageyard.BackendServer) Server {
	return Server{Name: server.Name, Incarnation: server.Incarnation}
}

func formatAll(requests []uint64) []string {
	var texts []string
	for _, request := range requests[:min(maxLogged, len(requests))] {
		texts = append(texts, Format(request))
	}
	return texts
}
