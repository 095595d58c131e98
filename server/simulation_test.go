package server

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// simConfig configures a discrete-event simulation of entry instances that share backend servers.
type simConfig struct {
	mode      Mode
	instances int
	servers   int
	slots     int
	// queue is how many requests each server queues.
	queue int
	// listedSlots is the number of slots that the entry instances assume, or 0 if they know the
	// actual number.
	listedSlots int
	mean        time.Duration
	delay       time.Duration
	deadline    time.Duration
	utilisation float64
	// queuePerSlot is the length of the entry instances' queues per slot.
	queuePerSlot float64
	requests     int
	seed         uint64
	// slowServer makes server-1 slower by a factor of ten; misreporting makes it always report a
	// load of 0.
	slowServer   bool
	misreporting bool
}

// results are the measurements of one simulation.
type results struct {
	latency   *hdrhistogram.Histogram
	refused   *hdrhistogram.Histogram
	answered  int
	retries   int
	sent      int
	maxQueued int
	// shed counts the requests that servers refused because their queues were full.
	shed     int
	duration time.Duration
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simServer struct {
	name    string
	running int
	waiting []func()
}

type simRequest struct {
	arrived  time.Time
	avoid    string
	attempts int
}

type simEntry struct {
	pool    *Pool
	budget  *RetryBudget
	waiting []simWaiter
}

type simWaiter struct {
	waiter  *Waiter
	request simRequest
}

type simulation struct {
	simConfig
	results
	now     time.Time
	queue   events
	order   int
	random  *rand.Rand
	entries []*simEntry
	hosts   map[string]*simServer
}

func (r *simulation) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, event{at: r.now.Add(d), order: r.order, do: do})
}

func (r *simulation) serviceTime(host string) time.Duration {
	t := float64(r.mean) * (0.5 + 0.5*r.random.ExpFloat64())
	if r.slowServer && host == "server-1" {
		t *= 10
	}
	return time.Duration(t)
}

func (m simConfig) run() results {
	r := &simulation{simConfig: m, now: testStart, random: rand.New(rand.NewPCG(m.seed, m.seed)), hosts: make(map[string]*simServer)}
	r.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	r.refused = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	list := servers(m.servers, max(m.slots, m.listedSlots))
	for _, b := range list {
		r.hosts[b.Name] = &simServer{name: b.Name}
	}
	for n := range m.instances {
		e := &simEntry{pool: NewPool(Settings{Mode: m.mode, QueuePerSlot: m.queuePerSlot, Instances: m.instances}, m.seed+uint64(n)), budget: NewRetryBudget()}
		e.pool.SetServers(list)
		r.entries = append(r.entries, e)
	}
	capacity := float64(m.servers*m.slots) / m.mean.Seconds()
	due := time.Duration(0)
	for range m.requests {
		due += time.Duration(r.random.ExpFloat64() / (capacity * m.utilisation) * float64(time.Second))
		e := r.entries[r.random.IntN(len(r.entries))]
		r.after(due, func() { r.arrive(e, simRequest{arrived: r.now}) })
	}
	r.duration = due
	const expireInterval = 50 * time.Millisecond
	for at := expireInterval; at < due; at += expireInterval {
		r.after(at, r.expire)
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.do()
	}
	return r.results
}

func (r *simulation) expire() {
	for _, e := range r.entries {
		e.pool.Expire(r.now)
		r.poll(e)
	}
}

func (r *simulation) arrive(e *simEntry, q simRequest) {
	if q.attempts == 0 {
		e.budget.Deposit()
	}
	result, waiter := e.pool.Acquire(Request{Now: r.now, Deadline: q.arrived.Add(r.deadline), Avoid: q.avoid})
	if waiter != nil {
		e.waiting = append(e.waiting, simWaiter{waiter: waiter, request: q})
		return
	}
	r.proceed(e, q, result)
}

// poll processes the results of waiting requests.
func (r *simulation) poll(e *simEntry) {
	var remaining []simWaiter
	waiting := e.waiting
	e.waiting = nil
	for _, w := range waiting {
		select {
		case result := <-w.waiter.Result():
			r.proceed(e, w.request, result)
		default:
			remaining = append(remaining, w)
		}
	}
	e.waiting = append(remaining, e.waiting...)
}

func (r *simulation) proceed(e *simEntry, q simRequest, result Result) {
	if result.Err != nil {
		_ = r.refused.RecordValue(max(1, r.now.Sub(q.arrived).Microseconds()))
		return
	}
	r.sent++
	host := r.hosts[result.Server.Name]
	sentAt := r.now
	answer := func(failed bool) {
		report := lovageyard.LoadReport{Slots: max(r.slots, r.listedSlots), InFlight: host.running, Queued: len(host.waiting)}
		if r.misreporting && host.name == "server-1" {
			report.InFlight, report.Queued = 0, 0
		}
		r.after(r.delay, func() {
			e.pool.Release(result, lovageyard.Outcome{At: r.now, Duration: r.now.Sub(sentAt), Report: report, Reported: true, Failed: failed})
			r.finish(e, q, host, failed)
			r.poll(e)
		})
	}
	r.after(r.delay, func() { r.serve(host, answer) })
}

func (r *simulation) finish(e *simEntry, q simRequest, host *simServer, failed bool) {
	if !failed {
		r.answered++
		_ = r.latency.RecordValue(r.now.Sub(q.arrived).Microseconds())
		return
	}
	q.attempts++
	q.avoid = host.name
	if q.attempts >= 3 || !e.budget.Withdraw() {
		_ = r.refused.RecordValue(max(1, r.now.Sub(q.arrived).Microseconds()))
		return
	}
	r.retries++
	r.arrive(e, q)
}

func (r *simulation) serve(host *simServer, answer func(failed bool)) {
	if host.running >= r.slots && len(host.waiting) >= r.simConfig.queue {
		r.shed++
		answer(true)
		return
	}
	start := func() {
		host.running++
		r.after(r.serviceTime(host.name), func() {
			host.running--
			if len(host.waiting) > 0 {
				next := host.waiting[0]
				host.waiting = host.waiting[1:]
				next()
			}
			answer(false)
		})
	}
	if host.running < r.slots {
		start()
		return
	}
	host.waiting = append(host.waiting, start)
	r.maxQueued = max(r.maxQueued, len(host.waiting))
}

// ideal simulates one central queue in front of all slots, with the same delays and arrivals. Its
// length is that of all queues together.
func (m simConfig) ideal() results {
	central := m
	central.mode = LeastInFlight
	central.instances = 1
	central.servers = 1
	central.slots = m.servers * m.slots
	central.queue = m.servers*m.queue + int(m.queuePerSlot*float64(central.slots))
	central.listedSlots = central.slots + central.queue
	return central.run()
}

func landavgiftConfig(mode Mode, utilisation float64) simConfig {
	return simConfig{
		mode: mode, instances: 2, servers: 2, slots: 8, queue: 8, mean: 20 * time.Millisecond, delay: time.Millisecond,
		deadline: 2 * time.Second, utilisation: utilisation, queuePerSlot: 3, requests: 60000, seed: 1,
	}
}

func sanadConfig(mode Mode, utilisation float64) simConfig {
	m := landavgiftConfig(mode, utilisation)
	m.slots, m.queue = 3, 3
	return m
}

func (o results) p(quantile float64) float64 {
	return float64(o.latency.ValueAtQuantile(quantile)) / 1000
}

// TestSharedModeMeetsTargets checks latency, throughput and refusals of the Shared mode with the
// sizes of one failure domain.
func TestSharedModeMeetsTargets(t *testing.T) {
	for _, test := range []struct {
		name string
		make func(Mode, float64) simConfig
	}{{"landavgift", landavgiftConfig}, {"sanad", sanadConfig}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			busy := test.make(Shared, 0.8)
			busy.requests = 20000
			got, ideal := busy.run(), busy.ideal()
			c.Assert(got.p(99) <= 1.5*ideal.p(99), qt.IsTrue, qt.Commentf("p99 %v ms, ideal %v ms", got.p(99), ideal.p(99)))
			c.Assert(got.shed, qt.Equals, 0)
			over := test.make(Shared, 1.3)
			over.requests = 20000
			got = over.run()
			rate := float64(got.answered) / got.duration.Seconds()
			capacity := float64(over.servers*over.slots) / over.mean.Seconds()
			c.Assert(rate >= 0.95*capacity, qt.IsTrue, qt.Commentf("answered %v of %v a second", rate, capacity))
			c.Assert(float64(got.refused.ValueAtQuantile(99))/1000 < 5, qt.IsTrue)
			c.Assert(float64(got.retries) <= 0.1*float64(over.requests)+retryBurst, qt.IsTrue)
		})
	}
}

// BenchmarkModel compares the load balancing algorithms; its metrics are the figures of
// docs/ADMISSION.md.
func BenchmarkModel(b *testing.B) {
	for _, deployment := range []struct {
		name string
		make func(Mode, float64) simConfig
	}{{"landavgift", landavgiftConfig}, {"sanad", sanadConfig}} {
		for _, utilisation := range []float64{0.5, 0.8, 0.95, 1.3} {
			for _, mode := range Modes() {
				m := deployment.make(mode, utilisation)
				b.Run(fmt.Sprintf("%s/%v/%s", deployment.name, utilisation, mode), func(b *testing.B) {
					report(b, m, m.run())
				})
			}
			m := deployment.make(Shared, utilisation)
			b.Run(fmt.Sprintf("%s/%v/ideal", deployment.name, utilisation), func(b *testing.B) {
				report(b, m, m.ideal())
			})
		}
	}
	for _, utilisation := range []float64{0.8, 0.95, 1.3} {
		for _, length := range []float64{1, 2, 3, 5} {
			m := sanadConfig(Shared, utilisation)
			m.queuePerSlot = length
			b.Run(fmt.Sprintf("queue/%v/%v", utilisation, length), func(b *testing.B) { report(b, m, m.run()) })
			b.Run(fmt.Sprintf("queue/%v/%v-ideal", utilisation, length), func(b *testing.B) { report(b, m, m.ideal()) })
		}
	}
	for _, mode := range Modes() {
		slow := landavgiftConfig(mode, 0.4)
		slow.slowServer = true
		b.Run("one-slow/0.4/"+string(mode), func(b *testing.B) { report(b, slow, slow.run()) })
		misreporting := landavgiftConfig(mode, 0.8)
		misreporting.misreporting = true
		b.Run("one-lying/0.8/"+string(mode), func(b *testing.B) { report(b, misreporting, misreporting.run()) })
	}
}

func report(b *testing.B, m simConfig, o results) {
	capacity := float64(m.servers*m.slots) / m.mean.Seconds()
	b.ReportMetric(o.p(50), "p50-ms")
	b.ReportMetric(o.p(99), "p99-ms")
	b.ReportMetric(100*float64(o.refused.TotalCount())/float64(m.requests), "refused-%")
	b.ReportMetric(100*float64(o.answered)/o.duration.Seconds()/capacity, "answered-%")
	b.ReportMetric(float64(o.refused.ValueAtQuantile(99))/1000, "refusal-p99-ms")
	b.ReportMetric(float64(o.maxQueued), "most-queued-at-server")
	b.ReportMetric(float64(o.shed), "shed")
	b.ReportMetric(0, "ns/op")
}
