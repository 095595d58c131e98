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

// Source provides the current routing snapshot.
type Source interface {
	Snapshot() *route.Snapshot
}

// ServerObserver is notified when a backend server reports in an answer that it is leaving.
type ServerObserver interface {
	ServerLeaving(service, site, server string)
}

// Charges stores the claims of requests that must run at most once.
type Charges interface {
	Claim(ctx context.Context, r charge.Request) (*charge.HeldClaim, *charge.Answer, error)
	Record(h *charge.HeldClaim, a charge.Answer)
	Release(h *charge.HeldClaim)
	MarkUnknown(h *charge.HeldClaim)
}

// Handler handles the requests of callers.
type Handler struct {
	source   Source
	observer ServerObserver
	charges  Charges
	backend  lovageyard.Backend
	timer    lovageyard.Timer
	recorder lovageyard.Recorder
	metrics  metrics.Registry
	self     lovageyard.EntryInstance
}

// Settings are the dependencies of a Handler; all of them are required.
type Settings struct {
	Source   Source
	Observer ServerObserver
	Charges  Charges
	Backend  lovageyard.Backend
	Timer    lovageyard.Timer
	Recorder lovageyard.Recorder
	Metrics  metrics.Registry
	Self     lovageyard.EntryInstance
}

// NewHandler returns a Handler, which is safe for concurrent use.
func NewHandler(s Settings) *Handler {
	return &Handler{
		source:   s.Source,
		observer: s.Observer,
		charges:  s.Charges,
		backend:  s.Backend,
		timer:    s.Timer,
		recorder: s.Recorder,
		metrics:  s.Metrics,
		self:     s.Self,
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

// Failure is the body of every response that the handler generates for a refused or failed request.
type Failure struct {
	Error   string             `json:"error"`
	Verdict lovageyard.Verdict `json:"verdict"`
	// RetryAfterMs is the retry time in milliseconds, or 0 if a retry would not help.
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
