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

// Behaviour of a server. The service time of the first coldRequests requests falls from coldFactor times the
// mean to the mean. maxBytes is the largest body that can be requested, and meanWeight the weight of the
// latest request in the moving average of service times.
const (
	queuePerSlot = 1
	coldRequests = 50
	coldFactor   = 4.0
	maxBytes     = 256 << 20
	blockSize    = 32 << 10
	meanWeight   = 0.1
	// hashHeader carries the xxHash of the whole body, so that callers can verify it.
	hashHeader = "Lovageyard-Content-Hash"
)

// serverFaults is the body of the call that sets a server's faults. SlowBy is a factor of the service time;
// Silent leaves requests unanswered; MisleadingLoad reports no load.
type serverFaults struct {
	Leaving        bool    `json:"leaving"`
	MisleadingLoad bool    `json:"misleading-load"`
	SlowBy         float64 `json:"slow-by"`
	Silent         bool    `json:"silent"`
}

// serverCounts holds a server's counters since its start, for checks by tests. Shed counts the requests that
// were refused because the queue was full, and Keys the runs by idempotency key.
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

	mu         sync.Mutex
	faults     serverFaults
	counts     serverCounts
	running    int
	queued     int
	started    int
	recentMean time.Duration
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
	s.mux.HandleFunc("GET "+link.HealthPath, s.showLoad)
	s.mux.HandleFunc("PUT /standin/faults", s.setFaults)
	s.mux.HandleFunc("GET /standin/counts", s.showCounts)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// ServeHTTP dispatches requests for load reports, faults and counters, and runs all others as work. Answers repeat the
// ID of the attempt.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(lovageyard.AttemptHeader); id != "" {
		w.Header().Set(lovageyard.AttemptHeader, id)
	}
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

func (s *backendServer) showLoad(w http.ResponseWriter, _ *http.Request) {
	encode(w, http.StatusOK, s.report())
}

// report returns the load report, with no load if the fault MisleadingLoad is set.
func (s *backendServer) report() lovageyard.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := lovageyard.LoadReport{
		Slots:    s.Slots,
		InFlight: s.running,
		Queued:   s.queued,
		Leaving:  s.faults.Leaving,
		MeanMs:   float64(s.recentMean.Microseconds()) / 1000,
	}
	if s.faults.MisleadingLoad {
		r.InFlight = 0
		r.Queued = 0
	}
	return r
}

// serveRequest simulates one request: the network delays, the wait in the queue for a slot, the service time
// and the answer.
func (s *backendServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().Silent {
		<-r.Context().Done()
		return
	}
	delay := s.network.delay(r.Header.Get(lovageyard.FailureDomainHeader))
	time.Sleep(delay)
	defer time.Sleep(delay)
	ctx, cancel := deadlineOf(r)
	defer cancel()
	if isExpired(r) || !s.acquireSlot(ctx) {
		s.refuse(w)
		return
	}
	defer s.releaseSlot()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.countKey(r.Header.Get("Idempotency-Key"))
	if !s.run(r.Context()) {
		return
	}
	s.answer(w, r)
}

// deadlineOf returns the request's context, bounded by the time left in its deadline header.
func deadlineOf(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(lovageyard.DeadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// isExpired reports whether it is too late to start the request, by the time that its sender has set, plus
// charge.MaxClockSkew for the difference of the clocks.
func isExpired(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(lovageyard.SendBeforeHeader), 10, 64)
	return err == nil && time.Now().After(time.UnixMilli(ms).Add(charge.MaxClockSkew))
}

func (s *backendServer) currentFaults() serverFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// acquireSlot waits for a slot. It returns false if the queue is full or the context ends first; the request
// then must not run.
func (s *backendServer) acquireSlot(ctx context.Context) bool {
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
	acquired := true
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		acquired = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	if acquired {
		s.running++
		s.counts.MostRunning = max(s.counts.MostRunning, s.running)
	}
	return acquired
}

func (s *backendServer) releaseSlot() {
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

// run waits for the service time and updates the moving average of the load report. It returns false if
// the request was cancelled.
func (s *backendServer) run(ctx context.Context) bool {
	took := s.serviceTime()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recentMean == 0 {
		s.recentMean = took
	}
	s.recentMean += time.Duration(meanWeight * float64(took-s.recentMean))
	return true
}

// serviceTime draws the service time of the next request.
func (s *backendServer) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1.0
	if s.started < coldRequests {
		factor += (coldFactor - 1) * float64(coldRequests-s.started) / coldRequests
	}
	s.started++
	if s.faults.SlowBy > 0 {
		factor *= s.faults.SlowBy
	}
	// Half of the mean is a constant, the other half the mean of an exponential distribution.
	return time.Duration(factor * float64(s.mean) * (0.5 + 0.5*rand.ExpFloat64()))
}

func (s *backendServer) refuse(w http.ResponseWriter) {
	s.setLoadHeader(w)
	w.Header().Set(lovageyard.VerdictHeader, string(lovageyard.VerdictNotRun))
	http.Error(w, "no slot", http.StatusServiceUnavailable)
}

func (s *backendServer) setLoadHeader(w http.ResponseWriter) {
	report, _ := json.Marshal(s.report())
	w.Header().Set(lovageyard.LoadHeader, string(report))
}

// answer sends a body of the size in the query parameter "bytes", or of one line if that is longer, and its hash
// in a header.
func (s *backendServer) answer(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > maxBytes {
		size = 0
	}
	pattern := []byte(fmt.Sprintf("%s %s from %s\n", r.Method, r.URL.Path, s.Name))
	size = max(size, len(pattern))
	w.Header().Set(hashHeader, strconv.FormatUint(hashOf(pattern, size), 16))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	s.setLoadHeader(w)
	_ = writeRepeated(pattern, size, func(b []byte) error {
		_, err := w.Write(b)
		return err
	})
}

func hashOf(pattern []byte, size int) uint64 {
	digest := xxhash.New()
	_ = writeRepeated(pattern, size, func(b []byte) error {
		_, err := digest.Write(b)
		return err
	})
	return digest.Sum64()
}

// writeRepeated passes size bytes that repeat a pattern to write, in blocks.
func writeRepeated(pattern []byte, size int, write func([]byte) error) error {
	block := make([]byte, 0, blockSize+len(pattern))
	for len(block) < blockSize {
		block = append(block, pattern...)
	}
	for size > 0 {
		n := min(size, len(block))
		if err := write(block[:n]); err != nil {
			return err
		}
		size -= n
	}
	return nil
}
