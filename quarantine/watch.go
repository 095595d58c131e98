package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
)

// Probes and lines.
const (
	// probeTimes is how often a server that broke off is asked whether it has ended, and probeEvery the
	// pause between: its connections may be closed a moment before its port is.
	probeTimes = 2
	probeEvery = 200 * time.Millisecond
	// maxShown bounds the fingerprints that a line names.
	maxShown = 16
)

// Prober finds out whether backend servers have ended.
type Prober interface {
	// HasEnded says whether a server's port refuses connections.
	HasEnded(ctx context.Context, server lovageyard.BackendServer) bool
}

// Settings are what a Watch is made of.
type Settings struct {
	Prober  Prober
	Timer   lovageyard.Timer
	Logger  *logrus.Logger
	Metrics *meter.Set
}

// Watch keeps a Table by what attempts at requests show, and by what other instances tell.
type Watch struct {
	settings Settings
	table    *Table
	news     chan struct{}
	context  context.Context
	cancel   context.CancelFunc
	probes   sync.WaitGroup

	mu      sync.Mutex
	probing map[Server]bool
	// shown holds the requests whose hold has been logged, and found those that are held by what was
	// seen here and have not been asked for.
	shown map[uint64]bool
	found []uint64
}

// NewWatch returns a Watch that has seen nothing.
func NewWatch(s Settings) *Watch {
	w := &Watch{
		settings: s,
		table:    NewTable(),
		news:     make(chan struct{}, 1),
		probing:  make(map[Server]bool),
		shown:    make(map[uint64]bool),
	}
	w.context, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close gives up all probes and waits for their end.
func (w *Watch) Close() {
	// Under the lock no probe begins any more once the context has ended.
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.probes.Wait()
}

// News delivers once this instance has seen something itself that others should know.
func (w *Watch) News() <-chan struct{} {
	return w.news
}

// Judge returns what is thought of a request.
func (w *Watch) Judge(request uint64) Judgement {
	return w.table.Judge(request, w.settings.Timer.Now())
}

// Lost notes that a server broke off a request that was sent to it at a time. Only if the server has ended
// is that anything against the request: answers get lost as well, and connections are reset.
func (w *Watch) Lost(server lovageyard.BackendServer, request uint64, sentAt time.Time) {
	open, news := w.table.Lose(lifeOf(server), request, sentAt, w.settings.Timer.Now())
	if open {
		w.probe(server)
	}
	if news {
		w.tell()
	}
}

// Ended notes that a server's port refuses connections, or that another server has it.
func (w *Watch) Ended(server lovageyard.BackendServer) {
	life := lifeOf(server)
	requests := w.table.End(life, w.settings.Timer.Now())
	if len(requests) == 0 {
		return
	}
	w.settings.Metrics.Count(meter.ServersCrashed, server.Service)
	w.settings.Logger.WithFields(logrus.Fields{
		"server":       server.Name,
		"life":         server.Incarnation,
		"service":      server.Service,
		"requests":     len(requests),
		"fingerprints": format(requests),
	}).Warn("a server ended while it had requests")
	w.tell()
}

// Answered notes that a server answered a request well.
func (w *Watch) Answered(request uint64) {
	if w.table.Clear(request, w.settings.Timer.Now()) {
		w.settings.Logger.WithField("fingerprint", Format(request)).Info("a request is cleared")
		w.tell()
	}
}

// Tick forgets what is too old to count.
func (w *Watch) Tick(now time.Time) {
	w.table.Expire(now)
	w.showHeld()
}

// Merge takes in what another instance tells, and says whether any of it was news.
func (w *Watch) Merge(r Report) bool {
	if !w.table.Merge(r, w.settings.Timer.Now()) {
		return false
	}
	w.showHeld()
	return true
}

// Report returns all that other instances should know.
func (w *Watch) Report() Report {
	return w.table.Report(w.settings.Timer.Now())
}

// ReportSince returns what this instance has learnt since a moment.
func (w *Watch) ReportSince(since time.Time) Report {
	return w.table.ReportSince(since, w.settings.Timer.Now())
}

// Digest returns a number that is the same for instances that know the same.
func (w *Watch) Digest() uint64 {
	return w.table.Digest()
}

// Found returns the requests that are held since the last call by what this instance saw itself.
func (w *Watch) Found() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.found
	w.found = nil
	return found
}

// ReportOf returns the crashes under one request.
func (w *Watch) ReportOf(request uint64) Report {
	return w.table.ReportOf(request, w.settings.Timer.Now())
}

// tell makes known that there is news; nobody waits for it to be taken.
func (w *Watch) tell() {
	began := w.showHeld()
	w.mu.Lock()
	w.found = append(w.found, began...)
	w.mu.Unlock()
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// probe finds out beside the request whether a server has ended; one probe of a server runs at a time.
func (w *Watch) probe(server lovageyard.BackendServer) {
	life := lifeOf(server)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probing[life] || w.context.Err() != nil {
		return
	}
	w.probing[life] = true
	w.probes.Go(func() {
		ended := w.hasEnded(server)
		w.mu.Lock()
		delete(w.probing, life)
		w.mu.Unlock()
		if ended {
			w.Ended(server)
		}
	})
}

// hasEnded asks a server a few times whether it has ended.
func (w *Watch) hasEnded(server lovageyard.BackendServer) bool {
	for n := range probeTimes {
		if n > 0 && !w.pause(probeEvery) {
			return false
		}
		if w.settings.Prober.HasEnded(w.context, server) {
			return true
		}
	}
	return false
}

// pause waits for a span; it returns false if the Watch is closed before.
func (w *Watch) pause(d time.Duration) bool {
	after := w.settings.Timer.After(d)
	defer after.Close()
	select {
	case <-after.C():
		return true
	case <-w.context.Done():
		return false
	}
}

// showHeld writes a line for each request whose hold has begun or ended, and returns the first.
func (w *Watch) showHeld() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := make(map[uint64]bool)
	var began []uint64
	for _, h := range w.table.Held() {
		held[h.Request] = true
		if w.shown[h.Request] {
			continue
		}
		began = append(began, h.Request)
		w.settings.Logger.WithFields(logrus.Fields{
			"fingerprint": Format(h.Request),
			"servers":     h.Servers,
			"for-ms":      h.Until.Sub(w.settings.Timer.Now()).Milliseconds(),
		}).Warn("a request is held, as servers end under it")
	}
	for request := range w.shown {
		if !held[request] {
			w.settings.Logger.WithField("fingerprint", Format(request)).Info("a request is held no more")
		}
	}
	w.shown = held
	w.settings.Metrics.Update(meter.RequestsQuarantined, int64(len(held)))
	return began
}

func lifeOf(server lovageyard.BackendServer) Server {
	return Server{Name: server.Name, Life: server.Incarnation}
}

func format(requests []uint64) []string {
	var texts []string
	for _, request := range requests[:min(maxShown, len(requests))] {
		texts = append(texts, Format(request))
	}
	return texts
}
