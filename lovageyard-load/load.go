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

// cause says what became of one request.
type cause string

const (
	causeWhole   cause = "whole"
	causeRefused cause = "refused"
	causeBroken  cause = "broken"
	causeCut     cause = "cut"
	causeDial    cause = "no-connection"
	causeLookUp  cause = "no-look-up"
)

// outcome is what became of one request.
type outcome struct {
	cause   cause
	status  int
	verdict lovageyard.Verdict
	site    string
}

// Range and precision of the latencies, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Minute / time.Microsecond)
	digits         = 3
)

// maxOutstanding bounds the requests under way; arrivals beyond it count as failed.
const maxOutstanding = 20000

// tally counts one class's outcomes.
type tally struct {
	mu       sync.Mutex
	sent     int64
	causes   map[cause]int64
	statuses map[int]int64
	verdicts map[lovageyard.Verdict]int64
	latency  *hdrhistogram.Histogram
	arrivals []arrival
}

// arrival tells to which site one answered request went.
type arrival struct {
	at   time.Time
	home string
	site string
}

func newTally() *tally {
	return &tally{
		causes:   make(map[cause]int64),
		statuses: make(map[int]int64),
		verdicts: make(map[lovageyard.Verdict]int64),
		latency:  hdrhistogram.New(lowestLatency, highestLatency, digits),
	}
}

func (t *tally) add(due time.Time, took time.Duration, home string, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.causes[o.cause]++
	if o.status != 0 {
		t.statuses[o.status]++
	}
	if o.verdict != "" {
		t.verdicts[o.verdict]++
	}
	if o.cause == causeWhole {
		_ = t.latency.RecordValue(max(lowestLatency, min(highestLatency, took.Microseconds())))
		t.arrivals = append(t.arrivals, arrival{at: due, home: home, site: o.site})
	}
}

// load is one run.
type load struct {
	options     options
	streams     []stream
	clients     []*client
	tallies     map[string]*tally
	numbers     atomic.Int64
	outstanding atomic.Int64
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

// run sends all streams and waits for the last answer.
func (l *load) run(ctx context.Context) []result {
	var sending sync.WaitGroup
	began := time.Now()
	sendingContext, stop := context.WithTimeout(ctx, l.options.Duration)
	defer stop()
	for i, s := range l.streams {
		sending.Go(func() { l.sendStream(sendingContext, began, s, uint64(i)) })
	}
	if isTerminal(os.Stderr) {
		go l.progress(sendingContext)
	}
	sending.Wait()
	return l.results()
}

// sendStream starts requests at their due times, whatever becomes of earlier ones.
func (l *load) sendStream(ctx context.Context, due time.Time, s stream, order uint64) {
	random := rand.New(rand.NewPCG(l.options.Seed, order))
	t := l.tallies[s.class]
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		due = due.Add(l.gap(s, random))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		c := l.clients[random.IntN(len(l.clients))]
		number := l.numbers.Add(1)
		if !l.admit(t) {
			continue
		}
		at := due
		requests.Go(func() { l.sendOne(c, s, t, number, at) })
	}
}

// gap returns the time between two arrivals of a stream.
func (l *load) gap(s stream, random *rand.Rand) time.Duration {
	mean := float64(time.Second) / s.rate
	if l.options.Arrivals == "fixed" {
		return time.Duration(mean)
	}
	return time.Duration(random.ExpFloat64() * mean)
}

func (l *load) admit(t *tally) bool {
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	if l.outstanding.Add(1) <= maxOutstanding {
		return true
	}
	l.outstanding.Add(-1)
	t.add(time.Now(), 0, "", outcome{cause: causeCut})
	return false
}

// sendOne measures from the due time, so that a late start counts.
func (l *load) sendOne(c *client, s stream, t *tally, number int64, due time.Time) {
	defer l.outstanding.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timeout)
	defer cancel()
	o := c.send(ctx, s, number)
	t.add(due, time.Since(due), c.home, o)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (l *load) progress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fmt.Fprintf(os.Stderr, "\rsent %d, under way %d ", l.numbers.Load(), l.outstanding.Load())
		case <-ctx.Done():
			fmt.Fprintln(os.Stderr)
			return
		}
	}
}
