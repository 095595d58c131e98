package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovageyard.example/lovageyard"
)

// category classifies the outcome of one request; its values are names in the results.
type category string

const (
	categoryComplete     category = "whole"
	categoryRefused      category = "refused"
	categoryCorrupt      category = "broken"
	categoryCut          category = "cut"
	categoryNoConnection category = "no-connection"
	categoryNoLookUp     category = "no-look-up"
)

// outcome is the result of one request as its client saw it.
type outcome struct {
	category category
	status   int
	verdict  lovageyard.Verdict
	site     string
}

// Range in microseconds and precision of the latency histogram.
const (
	lowestLatency     = 1
	highestLatency    = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxInFlight is the maximum number of requests in flight; further ones that come due are not sent and count
// as cut.
const maxInFlight = 20000

// tally holds the counters of one class. It is safe for concurrent use.
type tally struct {
	mu          sync.Mutex
	sent        int64
	categories  map[category]int64
	statuses    map[int]int64
	verdicts    map[lovageyard.Verdict]int64
	latency     *hdrhistogram.Histogram
	completions []completion
}

// completion records when a request with a complete answer was due, the network of its client and the site
// that served it.
type completion struct {
	dueAt   time.Time
	network string
	site    string
}

func newTally() *tally {
	return &tally{
		categories: make(map[category]int64),
		statuses:   make(map[int]int64),
		verdicts:   make(map[lovageyard.Verdict]int64),
		latency:    hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
	}
}

func (t *tally) add(due time.Time, took time.Duration, network string, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.categories[o.category]++
	if o.status != 0 {
		t.statuses[o.status]++
	}
	if o.verdict != "" {
		t.verdicts[o.verdict]++
	}
	if o.category == categoryComplete {
		_ = t.latency.RecordValue(max(lowestLatency, min(highestLatency, took.Microseconds())))
		t.completions = append(t.completions, completion{dueAt: due, network: network, site: o.site})
	}
}

// load is one run of the load generator.
type load struct {
	options    options
	streams    []stream
	clients    []*client
	tallies    map[string]*tally
	lastNumber atomic.Int64
	inFlight   atomic.Int64
}

func newLoad(o options) (*load, error) {
	l := &load{options: o, tallies: make(map[string]*tally)}
	networks, err := parseNetworks(o.Network)
	if err != nil {
		return nil, err
	}
	for n := range o.Clients {
		network := networks[n%len(networks)]
		address := clientAddress(network, n/len(networks))
		l.clients = append(l.clients, newClient(address, network.String(), o.LookUpAddress, o.Timeout))
	}
	for _, text := range o.Stream {
		s, err := parseStream(text)
		if err != nil {
			return nil, err
		}
		l.streams = append(l.streams, s)
		if l.tallies[s.class] == nil {
			l.tallies[s.class] = newTally()
		}
	}
	return l, nil
}

// run sends all streams for the configured duration, waits for the last answer and returns the results.
func (l *load) run(ctx context.Context) []result {
	var sending sync.WaitGroup
	start := time.Now()
	sendingContext, stop := context.WithTimeout(ctx, l.options.Duration)
	defer stop()
	for i, s := range l.streams {
		sending.Go(func() { l.sendStream(sendingContext, start, s, uint64(i)) })
	}
	if isTerminal(os.Stderr) {
		go l.printProgress(sendingContext)
	}
	sending.Wait()
	return l.results()
}

// sendStream starts each request of a stream at its due time, independently of the answers to earlier ones.
// randomStream selects the sequence of random numbers.
func (l *load) sendStream(ctx context.Context, due time.Time, s stream, randomStream uint64) {
	random := rand.New(rand.NewPCG(l.options.Seed, randomStream))
	t := l.tallies[s.class]
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		due = due.Add(l.interval(s, random))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		c := l.clients[random.IntN(len(l.clients))]
		number := l.lastNumber.Add(1)
		if !l.admit(t) {
			continue
		}
		requestDue := due
		requests.Go(func() { l.sendOne(c, s, t, number, requestDue) })
	}
}

// interval returns the time between two requests of a stream: the mean, or a random time that is exponentially
// distributed around it.
func (l *load) interval(s stream, random *rand.Rand) time.Duration {
	mean := float64(time.Second) / s.rate
	if l.options.Arrivals == "fixed" {
		return time.Duration(mean)
	}
	return time.Duration(random.ExpFloat64() * mean)
}

// admit counts a request and reports whether it may be sent without exceeding maxInFlight. If not, it records
// the request as cut.
func (l *load) admit(t *tally) bool {
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	if l.inFlight.Add(1) <= maxInFlight {
		return true
	}
	l.inFlight.Add(-1)
	t.add(time.Now(), 0, "", outcome{category: categoryCut})
	return false
}

// sendOne sends one request. The latency includes the delay of a start after the due time.
func (l *load) sendOne(c *client, s stream, t *tally, number int64, due time.Time) {
	defer l.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timeout)
	defer cancel()
	o := c.send(ctx, s, number)
	t.add(due, time.Since(due), c.network, o)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (l *load) printProgress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fmt.Fprintf(os.Stderr, "\rsent %d, in flight %d ", l.lastNumber.Load(), l.inFlight.Load())
		case <-ctx.Done():
			fmt.Fprintln(os.Stderr)
			return
		}
	}
}
