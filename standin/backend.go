package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/link"
)

// Behaviour of a stand-in server.
const (
	queuePerSlot = 1
	coldRequests = 50
	coldFactor   = 4.0
	maxBytes     = 256 << 20
	pieceSize    = 32 << 10
	recentWeight = 0.1
	// hashHeader carries the hash of the whole answer, so that callers can check it.
	hashHeader = "Lovageyard-Content-Hash"
)

// serverFaults are the faults of a server that can be switched on.
type serverFaults struct {
	Leaving        bool    `json:"leaving"`
	MisleadingLoad bool    `json:"misleading-load"`
	SlowBy         float64 `json:"slow-by"`
	Silent         bool    `json:"silent"`
}

// serverCounts are what a server has seen, for checks from outside.
type serverCounts struct {
	Requests    int            `json:"requests"`
	Shed        int            `json:"shed"`
	MostRunning int            `json:"most-running"`
	MostQueued  int            `json:"most-queued"`
	Keys        map[string]int `json:"keys"`
}

type backendServer struct {
	lovageyard.BackendServer
	listener net.Listener
	mean     time.Duration
	network  network
	slots    chan struct{}
	mux      *http.ServeMux

	mu      sync.Mutex
	faults  serverFaults
	counts  serverCounts
	running int
	queued  int
	served  int
	recent  time.Duration
}

func newBackendServer(b lovageyard.BackendServer, l net.Listener, mean time.Duration, n network) *backendServer {
	s := &backendServer{
		BackendServer: b,
		listener:      l,
		mean:          mean,
		network:       n,
		slots:         make(chan struct{}, b.Slots),
		mux:           http.NewServeMux(),
		counts:        serverCounts{Keys: make(map[string]int)},
	}
	s.mux.HandleFunc("GET "+link.HealthPath, s.load)
	s.mux.HandleFunc("PUT /standin/faults", s.setFaults)
	s.mux.HandleFunc("GET /standin/counts", s.showCounts)
	s.mux.HandleFunc("/", s.work)
	return s
}

// ServeHTTP answers one request.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *backendServer) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults serverFaults
	if !decode(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *backendServer) showCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encode(w, http.StatusOK, s.counts)
}

func (s *backendServer) load(w http.ResponseWriter, _ *http.Request) {
	encode(w, http.StatusOK, s.report())
}

func (s *backendServer) report() lovageyard.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := lovageyard.LoadReport{
		Slots:    s.Slots,
		InFlight: s.running,
		Queued:   s.queued,
		Leaving:  s.faults.Leaving,
		MeanMs:   float64(s.recent.Microseconds()) / 1000,
	}
	if s.faults.MisleadingLoad {
		r.InFlight = 0
		r.Queued = 0
	}
	return r
}

// work runs one request: network delay, a place in the queue, a slot, the answer.
func (s *backendServer) work(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().Silent {
		<-r.Context().Done()
		return
	}
	delay := s.network.delay(r.Header.Get(lovageyard.FailureDomainHeader))
	time.Sleep(delay)
	defer time.Sleep(delay)
	ctx, cancel := deadlineOf(r)
	defer cancel()
	if tooLate(r) || !s.enter(ctx) {
		s.refuse(w)
		return
	}
	defer s.leave()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.countKey(r.Header.Get("Idempotency-Key"))
	if !s.run(r.Context()) {
		return
	}
	s.answer(w, r)
}

func deadlineOf(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(lovageyard.DeadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// tooLate says whether a request may not begin any more, by the sender's clock.
func tooLate(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(lovageyard.SendBeforeHeader), 10, 64)
	return err == nil && time.Now().After(time.UnixMilli(ms).Add(charge.MaxClockSkew))
}

func (s *backendServer) currentFaults() serverFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// enter waits for a slot; false means that the request did not run.
func (s *backendServer) enter(ctx context.Context) bool {
	s.mu.Lock()
	s.counts.Requests++
	if s.queued >= queuePerSlot*s.Slots {
		s.counts.Shed++
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.counts.MostQueued = max(s.counts.MostQueued, s.running+s.queued-s.Slots)
	s.mu.Unlock()
	entered := true
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		entered = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	if entered {
		s.running++
		s.counts.MostRunning = max(s.counts.MostRunning, s.running)
	}
	return entered
}

func (s *backendServer) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}

func (s *backendServer) countKey(key string) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Keys[key]++
}

// run spends the service time; a cold server takes longer. It returns false if the
// request was cancelled.
func (s *backendServer) run(ctx context.Context) bool {
	took := s.serviceTime()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == 0 {
		s.recent = took
	}
	s.recent += time.Duration(recentWeight * float64(took-s.recent))
	return true
}

func (s *backendServer) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1.0
	if s.served < coldRequests {
		factor += (coldFactor - 1) * float64(coldRequests-s.served) / coldRequests
	}
	s.served++
	if s.faults.SlowBy > 0 {
		factor *= s.faults.SlowBy
	}
	// Half of the time is fixed, half of it exponential.
	return time.Duration(factor * float64(s.mean) * (0.5 + 0.5*rand.ExpFloat64()))
}

func (s *backendServer) refuse(w http.ResponseWriter) {
	s.head(w)
	w.Header().Set(lovageyard.VerdictHeader, string(lovageyard.VerdictNotRun))
	http.Error(w, "no slot", http.StatusServiceUnavailable)
}

func (s *backendServer) head(w http.ResponseWriter) {
	report, _ := json.Marshal(s.report())
	w.Header().Set(lovageyard.LoadHeader, string(report))
}

// answer sends as many bytes as the query's "bytes" asks for, with their hash ahead.
func (s *backendServer) answer(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > maxBytes {
		size = 0
	}
	piece := []byte(fmt.Sprintf("%s %s from %s\n", r.Method, r.URL.Path, s.Name))
	size = max(size, len(piece))
	w.Header().Set(hashHeader, strconv.FormatUint(hashOf(piece, size), 16))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	s.head(w)
	_ = eachPiece(piece, size, func(b []byte) error {
		_, err := w.Write(b)
		return err
	})
}

func hashOf(piece []byte, size int) uint64 {
	digest := xxhash.New()
	_ = eachPiece(piece, size, func(b []byte) error {
		_, err := digest.Write(b)
		return err
	})
	return digest.Sum64()
}

// eachPiece visits size bytes that repeat a piece.
func eachPiece(piece []byte, size int, visit func([]byte) error) error {
	block := make([]byte, 0, pieceSize+len(piece))
	for len(block) < pieceSize {
		block = append(block, piece...)
	}
	for size > 0 {
		n := min(size, len(block))
		if err := visit(block[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}
