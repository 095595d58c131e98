package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/backpressure"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/instance"
)

// Weights and spans of the estimates that are kept for each server.
const (
	// reportSpan is how fast a report of others' requests loses its worth against the
	// long-run mean: about the length of one request.
	reportSpan = 400 * time.Millisecond
	// meanWeight is the weight of a new report in the long-run mean.
	meanWeight = 0.1
	// paceWeight is the weight of a new answer in the server's speed.
	paceWeight = 0.2
	// paceHalfLife is how fast an old judgement of a server's speed or failures fades, so
	// that a server that recovered is tried again.
	paceHalfLife = 4 * time.Second
	// Bounds of the speed factor; 1 is as fast as its peers.
	minPace, maxPace = 0.7, 12
	// failureWeight is the weight of a new attempt in the share of failures.
	failureWeight = 0.2
	// firstSuspicion is how long a server is left alone after it did not answer; it doubles
	// with each further failure up to longestSuspicion.
	firstSuspicion   = 400 * time.Millisecond
	longestSuspicion = 6 * time.Second
	// stallMeans is how many mean works a server may go without any answer while it has requests.
	stallMeans = 4
	leastStall = 700 * time.Millisecond
	// illShare is the share of failures above which a server is left alone for a while: that
	// is reached by five failures in a row.
	illShare = 0.6
)

// server is one backend server as this instance judges it.
type server struct {
	catalog.Server
	hash     uint64
	slots    int
	inFlight int
	// others is how many requests of other instances the server held at othersAt.
	others     float64
	othersMean float64
	othersAt   time.Time
	pace       float64
	failures   float64
	judgedAt   time.Time
	strikes    int
	suspect    time.Time
	// busySince is when the server last answered, or got its first request since.
	busySince time.Time
	// answeredAt is when the server last answered.
	answeredAt time.Time
	gone       bool
	cold       coldGate
	// record is what the server has asked for in its answers.
	record *backpressure.Record
}

func newServer(s catalog.Server, record *backpressure.Record) *server {
	return &server{
		Server: s,
		hash:   xxhash.Sum64String(s.Name),
		slots:  max(1, s.Slots),
		pace:   1,
		record: record,
	}
}

// rankFor returns the server's place in the order of an object, the highest first.
func (s *server) rankFor(object uint64) uint64 {
	return instance.MixHash(object ^ s.hash)
}

// placeFor returns the server's place in the order of an object as a number from 0 to 1.
func (s *server) placeFor(object uint64) float64 {
	return float64(s.rankFor(object)>>11) / (1 << 53)
}

// takesWork says whether the server may get new requests at all.
func (s *server) takesWork() bool {
	return !s.gone && s.State == lovageyard.StateLive
}

// isSuspect says whether the server is left alone for now, or is being tried by one request.
func (s *server) isSuspect(now time.Time) bool {
	if s.strikes == 0 {
		return false
	}
	return now.Before(s.suspect) || s.inFlight > 0
}

// isStalled says whether requests have been at the server for long without any answer.
func (s *server) isStalled(now time.Time, mean time.Duration) bool {
	if s.inFlight == 0 {
		return false
	}
	longest := max(leastStall, time.Duration(stallMeans*s.pace*float64(mean)))
	return now.Sub(s.busySince) > longest
}

// load returns how many requests the server is believed to hold.
func (s *server) load(now time.Time) float64 {
	age := now.Sub(s.othersAt)
	trust := math.Exp(-float64(age) / float64(reportSpan))
	return float64(s.inFlight) + s.othersMean + (s.others-s.othersMean)*trust
}

// learnReport takes in what a server said of its load; own counts this instance's requests there.
func (s *server) learnReport(r lovageyard.LoadReport, own int, now time.Time) {
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	s.others = max(0, float64(r.InFlight+r.Queued-own))
	if s.othersAt.IsZero() {
		s.othersMean = s.others
	}
	s.othersMean += meanWeight * (s.others - s.othersMean)
	s.othersAt = now
}

// fade lets old judgements lose their weight.
func (s *server) fade(now time.Time) {
	if !s.judgedAt.IsZero() {
		left := math.Exp2(-float64(now.Sub(s.judgedAt)) / float64(paceHalfLife))
		s.pace = 1 + (s.pace-1)*left
		s.failures *= left
	}
	s.judgedAt = now
}

// learnPace takes in how long an answer took against what was expected.
func (s *server) learnPace(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxPace, max(minPace, float64(took)/float64(expected)))
	s.pace += paceWeight * (ratio - s.pace)
}

// learnFailure takes in whether an attempt failed.
func (s *server) learnFailure(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failures += failureWeight * (sample - s.failures)
}

// isIll says whether the server fails most of what it gets.
func (s *server) isIll() bool {
	return s.failures > illShare
}

// strike notes that the server did not answer, or that it is ill.
func (s *server) strike(now time.Time) {
	s.suspect = now.Add(min(longestSuspicion, firstSuspicion<<min(s.strikes, 5)))
	s.strikes++
}

// reportAge returns the age of what the server said of its load, or 0 if it never did.
func (s *server) reportAge(now time.Time) time.Duration {
	if s.othersAt.IsZero() {
		return 0
	}
	return now.Sub(s.othersAt)
}
