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
	m := &Monitor{
		settings: s,
		table:    NewTable(),
		updates:  make(chan struct{}, 1),
		probing:  make(map[Server]bool),
		logged:   make(map[uint64]bool),
	}
	m.context, m.cancel = context.WithCancel(context.Background())
	return m
}

// Close cancels all probes and waits until they have returned.
func (m *Monitor) Close() {
	// The lock ensures that no probe starts after the context is cancelled.
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.probes.Wait()
}

// Updates returns a channel that receives a value once this instance has observed something that should be
// reported to others.
func (m *Monitor) Updates() <-chan struct{} {
	return m.updates
}

// Evaluate returns the current decision on a request.
func (m *Monitor) Evaluate(request uint64) Decision {
	return m.table.Evaluate(request, m.settings.Timer.Now())
}

// RecordLoss records that a server closed the connection of a request that was sent to it at sentAt. That
// counts against the request only once the server is confirmed to have crashed, as answers get lost and
// connections are reset for other reasons, too.
func (m *Monitor) RecordLoss(server lovageyard.BackendServer, request uint64, sentAt time.Time) {
	unconfirmed, changed := m.table.RecordLoss(incarnationOf(server), request, sentAt, m.settings.Timer.Now())
	if unconfirmed {
		m.probe(server)
	}
	if changed {
		m.notify()
	}
}

// RecordCrash records that a server's port refuses connections, or that another server now uses its address.
func (m *Monitor) RecordCrash(server lovageyard.BackendServer) {
	incarnation := incarnationOf(server)
	requests := m.table.RecordCrash(incarnation, m.settings.Timer.Now())
	if len(requests) == 0 {
		return
	}
	m.settings.Metrics.Count(meter.ServersCrashed, server.Service)
	m.settings.Logger.WithFields(logrus.Fields{
		"server":       server.Name,
		"life":         server.Incarnation,
		"service":      server.Service,
		"requests":     len(requests),
		"fingerprints": formatAll(requests),
	}).Warn("backend server crashed with requests in flight")
	m.notify()
}

// RecordSuccess records that a server answered a request successfully.
func (m *Monitor) RecordSuccess(request uint64) {
	if m.table.RecordSuccess(request, m.settings.Timer.Now()) {
		m.settings.Logger.WithField("fingerprint", Format(request)).Info("request cleared by a success")
		m.notify()
	}
}

// Tick removes expired state. It is to be called periodically.
func (m *Monitor) Tick(now time.Time) {
	m.table.Expire(now)
	m.logQuarantined()
}

// Merge applies a report from another instance. It returns whether the report changed the state.
func (m *Monitor) Merge(r Report) bool {
	if !m.table.Merge(r, m.settings.Timer.Now()) {
		return false
	}
	m.logQuarantined()
	return true
}

// Report returns the whole state that other instances need.
func (m *Monitor) Report() Report {
	return m.table.Report(m.settings.Timer.Now())
}

// ReportSince returns what this instance has recorded or merged since a time.
func (m *Monitor) ReportSince(since time.Time) Report {
	return m.table.ReportSince(since, m.settings.Timer.Now())
}

// Digest returns a hash of the state, which is the same on instances with the same state.
func (m *Monitor) Digest() uint64 {
	return m.table.Digest()
}

// NewlyQuarantined returns the requests that observations of this instance have quarantined since the last
// call.
func (m *Monitor) NewlyQuarantined() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	requests := m.newlyQuarantined
	m.newlyQuarantined = nil
	return requests
}

// ReportFor returns the crashes at which one request was in flight.
func (m *Monitor) ReportFor(request uint64) Report {
	return m.table.ReportFor(request, m.settings.Timer.Now())
}

// notify logs the requests that were quarantined and signals on the updates channel without blocking.
func (m *Monitor) notify() {
	added := m.logQuarantined()
	m.mu.Lock()
	m.newlyQuarantined = append(m.newlyQuarantined, added...)
	m.mu.Unlock()
	select {
	case m.updates <- struct{}{}:
	default:
	}
}

// probe checks in the background whether a server has crashed. At most one probe of a server runs at a time.
func (m *Monitor) probe(server lovageyard.BackendServer) {
	incarnation := incarnationOf(server)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing[incarnation] || m.context.Err() != nil {
		return
	}
	m.probing[incarnation] = true
	m.probes.Go(func() {
		crashed := m.confirmCrash(server)
		m.mu.Lock()
		delete(m.probing, incarnation)
		m.mu.Unlock()
		if crashed {
			m.RecordCrash(server)
		}
	})
}

// confirmCrash probes a server up to probeAttempts times and reports whether it refuses connections.
func (m *Monitor) confirmCrash(server lovageyard.BackendServer) bool {
	for n := range probeAttempts {
		if n > 0 && !m.sleep(probeInterval) {
			return false
		}
		if m.settings.Prober.RefusesConnections(m.context, server) {
			return true
		}
	}
	return false
}

// sleep waits for a duration. It returns false if the Monitor is closed first.
func (m *Monitor) sleep(d time.Duration) bool {
	after := m.settings.Timer.After(d)
	defer after.Close()
	select {
	case <-after.C():
		return true
	case <-m.context.Done():
		return false
	}
}

// logQuarantined logs each request that entered or left the quarantine, and returns those that entered it.
func (m *Monitor) logQuarantined() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	quarantined := make(map[uint64]bool)
	var added []uint64
	for _, q := range m.table.Quarantined() {
		quarantined[q.Request] = true
		if m.logged[q.Request] {
			continue
		}
		added = append(added, q.Request)
		m.settings.Logger.WithFields(logrus.Fields{
			"fingerprint": Format(q.Request),
			"servers":     q.Servers,
			"for-ms":      q.Until.Sub(m.settings.Timer.Now()).Milliseconds(),
		}).Warn("request quarantined: backend servers crash while running it")
	}
	for request := range m.logged {
		if !quarantined[request] {
			m.settings.Logger.WithField("fingerprint", Format(request)).Info("request released from quarantine")
		}
	}
	m.logged = quarantined
	m.settings.Metrics.Update(meter.RequestsQuarantined, int64(len(quarantined)))
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
