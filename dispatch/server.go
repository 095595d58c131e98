package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/backpressure"
	"lovageyard.example/lovageyard/catalog"
)

// Parameters of the estimates that are kept for each server.
const (
	// reportDecay is the time constant with which the latest report of others' requests loses its
	// weight against the long-run mean. It is about the length of one request.
	reportDecay = 400 * time.Millisecond
	// othersMeanWeight is the weight of a new report in the long-run mean.
	othersMeanWeight = 0.1
	// slowdownWeight is the weight of a new answer in the server's slowdown factor.
	slowdownWeight = 0.2
	// estimateHalfLife is the half-life of the slowdown factor and the failure rate, so that a
	// server that has recovered is tried again.
	estimateHalfLife = 4 * time.Second
	// Bounds of the slowdown factor; 1 means as fast as the peers.
	minSlowdown, maxSlowdown = 0.7, 12
	// failureWeight is the weight of a new attempt in the failure rate.
	failureWeight = 0.2
	// initialExclusion is how long a server is excluded after it did not answer. The time doubles
	// with each further failure up to maxExclusion.
	initialExclusion = 400 * time.Millisecond
	maxExclusion     = 6 * time.Second
	// stallFactor is how many mean work times a server with requests may go without any answer, and
	// minStallTime the lower bound of that time.
	stallFactor  = 4
	minStallTime = 700 * time.Millisecond
	// failureThreshold is the failure rate above which a server is temporarily excluded. It is
	// reached after five consecutive failures.
	failureThreshold = 0.6
)

// server is the state of one backend server as estimated by this instance.
type server struct {
	catalog.Server
	// hash is the hash of the name.
	hash     uint64
	slots    int
	inFlight int
	// others is the number of other instances' requests at the server at othersAt.
	others     float64
	othersMean float64
	othersAt   time.Time
	slowdown   float64
	pace       pace
	// runs are recorded only where objects have second homes.
	runs                recentRuns
	failureRate         float64
	decayedAt           time.Time
	consecutiveFailures int
	suspectUntil        time.Time
	// busySince is when the server last answered, or received its first request since.
	busySince time.Time
	// answeredAt is when the server last answered.
	answeredAt time.Time
	replaced   bool
	cold       coldLimiter
	// record is the backpressure that the server has requested in its responses.
	record *backpressure.Record
}

func newServer(s catalog.Server, record *backpressure.Record) *server {
	return &server{
		Server:   s,
		hash:     xxhash.Sum64String(s.Name),
		slots:    max(1, s.Slots),
		slowdown: 1,
		record:   record,
	}
}

// isAvailable reports whether the server may get new requests at all.
func (s *server) isAvailable() bool {
	return !s.replaced && s.State == lovageyard.StateLive
}

// isSuspect reports whether the server is temporarily excluded, or is being probed by a request in
// flight.
func (s *server) isSuspect(now time.Time) bool {
	if s.consecutiveFailures == 0 {
		return false
	}
	return now.Before(s.suspectUntil) || s.inFlight > 0
}

// isStalled reports whether the server has had requests for long without any answer.
func (s *server) isStalled(now time.Time, mean time.Duration) bool {
	if s.inFlight == 0 {
		return false
	}
	longest := max(minStallTime, time.Duration(stallFactor*s.slowdown*float64(mean)))
	return now.Sub(s.busySince) > longest
}

// estimatedLoad returns the estimated number of requests at the server, by its own reports.
func (s *server) estimatedLoad(now time.Time) float64 {
	return s.loadAround(s.othersMean, now)
}

// agedLoad is estimatedLoad with less weight for old reports: the long-run mean of others' requests
// gives way to the mean load of the service's servers.
func (s *server) agedLoad(service meanLoad, now time.Time) float64 {
	typical := service.at(now) * float64(s.slots)
	return s.loadAround(typical+(s.othersMean-typical)*halfLifeFactor(now.Sub(s.othersAt), loadHalfLife), now)
}

// loadAround returns the estimated number of requests at the server, given the long-run mean of
// others' requests, to which the latest report gives way.
func (s *server) loadAround(mean float64, now time.Time) float64 {
	weight := math.Exp(-float64(now.Sub(s.othersAt)) / float64(reportDecay))
	return float64(s.inFlight) + mean + (s.others-mean)*weight
}

// applyReport applies a load report of the server. The number of this instance's own requests is
// subtracted from the reported load.
func (s *server) applyReport(r lovageyard.LoadReport, ownInFlight int, now time.Time) {
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	s.others = max(0, float64(r.InFlight+r.Queued-ownInFlight))
	if s.othersAt.IsZero() {
		s.othersMean = s.others
	}
	s.othersMean += othersMeanWeight * (s.others - s.othersMean)
	s.othersAt = now
	s.pace.update(r.Pace, now)
}

// decay reduces the weight of old observations.
func (s *server) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		factor := halfLifeFactor(now.Sub(s.decayedAt), estimateHalfLife)
		s.slowdown = 1 + (s.slowdown-1)*factor
		s.failureRate *= factor
	}
	s.decayedAt = now
}

// updateSlowdown updates the slowdown factor with the duration of a run and the expected duration.
func (s *server) updateSlowdown(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowdown, max(minSlowdown, float64(took)/float64(expected)))
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
}

// updateFailureRate updates the failure rate with the result of an attempt.
func (s *server) updateFailureRate(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureRate += failureWeight * (sample - s.failureRate)
}

// isFailing reports whether the server fails most of its requests.
func (s *server) isFailing() bool {
	return s.failureRate > failureThreshold
}

// markSuspect excludes the server temporarily, as it did not answer or fails most requests.
func (s *server) markSuspect(now time.Time) {
	s.suspectUntil = now.Add(min(maxExclusion, initialExclusion<<min(s.consecutiveFailures, 5)))
	s.consecutiveFailures++
}

// reportAge returns the age of the last load report, or 0 if there is none.
func (s *server) reportAge(now time.Time) time.Duration {
	if s.othersAt.IsZero() {
		return 0
	}
	return now.Sub(s.othersAt)
}
