package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/route"
)

// Source gives the snapshot in force.
type Source interface {
	Snapshot() *route.Snapshot
}

// Watcher is told when a backend server said that it is leaving, or could not be reached.
type Watcher interface {
	ServerLeaving(service, site, server string)
}

// Charges keeps the claims of requests that must run at most once.
type Charges interface {
	Claim(ctx context.Context, r charge.Request) (*charge.HeldClaim, *charge.Answer, error)
	Record(h *charge.HeldClaim, a charge.Answer)
	Release(h *charge.HeldClaim)
	MarkUnknown(h *charge.HeldClaim)
}

// Handler answers callers.
type Handler struct {
	source   Source
	watcher  Watcher
	charges  Charges
	backend  lovageyard.Backend
	timer    lovageyard.Timer
	recorder lovageyard.Recorder
	metrics  metrics.Registry
	self     lovageyard.EntryInstance
}

// Settings are what a Handler is made of.
type Settings struct {
	Source   Source
	Watcher  Watcher
	Charges  Charges
	Backend  lovageyard.Backend
	Timer    lovageyard.Timer
	Recorder lovageyard.Recorder
	Metrics  metrics.Registry
	Self     lovageyard.EntryInstance
}

// NewHandler returns a handler.
func NewHandler(p Settings) *Handler {
	return &Handler{
		source:   p.Source,
		watcher:  p.Watcher,
		charges:  p.Charges,
		backend:  p.Backend,
		timer:    p.Timer,
		recorder: p.Recorder,
		metrics:  p.Metrics,
		self:     p.Self,
	}
}

// ServeHTTP answers a look-up or forwards a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snapshot := h.source.Snapshot()
	if snapshot.Leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == class.LookUpPath {
		h.lookUp(w, r, snapshot)
		return
	}
	h.forward(w, r, snapshot)
}

// Failure is the body of every refusal and failure.
type Failure struct {
	Error   string             `json:"error"`
	Verdict lovageyard.Verdict `json:"verdict"`
	// RetryAfterMs is when to come back, in milliseconds, if that would help.
	RetryAfterMs int64 `json:"retry-after-ms,omitempty"`
}

func fail(w http.ResponseWriter, status int, err *lovageyard.RequestError, retryAfter time.Duration) {
	body := Failure{Error: err.Error(), Verdict: err.Verdict, RetryAfterMs: retryAfter.Milliseconds()}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(lovageyard.VerdictHeader, string(err.Verdict))
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func remoteAddr(r *http.Request) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}
	}
	return address
}
