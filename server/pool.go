package server

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovageyard.example/lovageyard"
)

// Settings configure a Pool.
type Settings struct {
	// Mode is the load balancing algorithm.
	Mode Mode
	// QueuePerSlot is the maximum length of the queue per available slot of the pool's servers.
	QueuePerSlot float64
	// Instances is the number of entry instances that share the servers, at least 1.
	Instances int
}

// Request is a request for a server of the pool.
type Request struct {
	Now      time.Time
	Deadline time.Time
	// Importance is the priority of the request if not all can be queued; the lowest is refused
	// first.
	Importance int
	// Avoid names a server at which an earlier attempt failed, or is "".
	Avoid string
}

// Result is the result of a Request: either a server or the error of a refusal.
type Result struct {
	Server     lovageyard.BackendServer
	InFlight   int
	Candidates int
	Err        *lovageyard.RequestError
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Mean is the mean response time of the pool so far.
	Mean time.Duration

	backend *backend
}

// Pool manages the backend servers of one service at one site. Its methods are safe for concurrent
// use.
type Pool struct {
	mu           sync.Mutex
	settings     Settings
	random       *rand.Rand
	backends     []*backend
	queue        waitQueue
	nextIndex    int
	meanDuration time.Duration
	answers      uint64
	serversSet   bool
}

// NewPool returns a pool without servers; SetServers adds them.
func NewPool(s Settings, seed uint64) *Pool {
	if s.Instances < 1 {
		s.Instances = 1
	}
	return &Pool{settings: s, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetInstances changes the number of entry instances that share the servers.
func (p *Pool) SetInstances(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Instances = max(1, n)
}

// SetServers replaces the list of servers. A server that is no longer listed gets no new requests,
// and one that is added starts cold. The servers of the first list are assumed to be warm, as it is
// this instance that has just started.
func (p *Pool) SetServers(servers []lovageyard.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.serversSet
	p.serversSet = true
	var backends []*backend
	for _, b := range servers {
		be := p.find(b.Name)
		if be == nil || be.Address != b.Address {
			be = newBackend(b)
			if first {
				be.trigger(eventWarm)
			}
		}
		be.BackendServer = b
		if b.State != lovageyard.StateLive {
			be.trigger(eventLeaving)
		}
		backends = append(backends, be)
	}
	p.backends = backends
}

// SetState records that a server is leaving, or that a leaving one has returned.
func (p *Pool) SetState(name string, state lovageyard.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	be := p.find(name)
	switch {
	case be == nil:
	case state == lovageyard.StateLive:
		be.trigger(eventReturn)
	default:
		be.trigger(eventLeaving)
	}
}

// Acquire assigns a server to a request, refuses it, or queues it. A queued request gets its result
// on the returned waiter's channel, and the Result is then empty.
func (p *Pool) Acquire(r Request) (Result, *Waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if be := p.choose(r); be != nil {
		return p.assign(be), nil
	}
	if p.available() == 0 {
		return p.refuse("no backend server of the site takes work"), nil
	}
	if wait := p.expectedWait(); r.Now.Add(wait + p.meanDuration).After(r.Deadline) {
		return p.refuse("the deadline can't be met"), nil
	}
	if p.queue.Len() >= p.queueLimit() {
		evicted := p.queue.evict(r.Importance)
		if evicted == nil {
			return p.refuse("the queue is full"), nil
		}
		evicted.deliver(p.refuse("a more important request took the place in the queue"))
	}
	w := newWaiter(r)
	p.queue.push(w)
	return Result{}, w
}

// Release frees the slot of a result and assigns it to the next queued request. It must be called
// once for each result with a server.
func (p *Pool) Release(r Result, o lovageyard.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.backend.inFlight--
	r.backend.applyResponse(o)
	if !o.Failed {
		p.answers++
		p.updateMean(o.Duration)
	}
	p.drainQueue(o.At)
}

// MarkUnreachable excludes a server that could not be reached until ObserveReport is called for it.
func (p *Pool) MarkUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if be := p.find(name); be != nil {
		be.trigger(eventFailed)
	}
}

// ObserveReport applies the load report with which a server responded to a probe.
func (p *Pool) ObserveReport(name string, r lovageyard.LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	be := p.find(name)
	if be == nil {
		return
	}
	if !r.Leaving {
		be.trigger(eventHealthy)
	}
	be.applyReport(now, r)
	p.drainQueue(now)
}

// Expire refuses the queued requests that can't be answered before their deadline, and assigns
// slots that other instances have freed. It should be called at intervals.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := p.queue.first(); w != nil && !now.Add(p.meanDuration).Before(w.request.Deadline); w = p.queue.first() {
		p.queue.remove(w)
		w.deliver(p.refuse("the deadline came while the request was queued"))
	}
	p.drainQueue(now)
}

// Cancel removes a waiter from the queue; it returns false if the waiter already has its result.
func (p *Pool) Cancel(w *Waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.remove(w)
}

// Stats are the counts that a pool exports for status pages and reports.
type Stats struct {
	Servers   int
	Available int
	Suspects  []lovageyard.BackendServer
	Leaving   []lovageyard.BackendServer
	Slots     int
	InFlight  int
	Load      float64
	Queued    int
	// Mean is the mean response time as seen by this instance.
	Mean time.Duration
	// ServiceTime is the mean time per request that the servers report, or 0 if none does.
	ServiceTime time.Duration
	// Answers is the number of successful responses so far.
	Answers uint64
}

// Stats returns the pool's counts at a time.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Servers: len(p.backends), Queued: p.queue.Len(), Mean: p.meanDuration, Answers: p.answers}
	var reporting int
	for _, be := range p.backends {
		s.InFlight += be.inFlight
		switch {
		case be.isAvailable():
			s.Available++
			s.Slots += be.slots
			s.Load += be.load(now)
			if be.serviceTime > 0 {
				reporting++
				s.ServiceTime += (be.serviceTime - s.ServiceTime) / time.Duration(reporting)
			}
		case be.state == stateSuspect:
			s.Suspects = append(s.Suspects, be.BackendServer)
		case be.state == stateLeaving:
			s.Leaving = append(s.Leaving, be.BackendServer)
		}
	}
	return s
}

// HasAvailable reports whether any server of the pool accepts new requests.
func (p *Pool) HasAvailable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.available() > 0
}

func (p *Pool) find(name string) *backend {
	position := slices.IndexFunc(p.backends, func(be *backend) bool {
		return be.Name == name
	})
	if position < 0 {
		return nil
	}
	return p.backends[position]
}

func (p *Pool) available() int {
	count := 0
	for _, be := range p.backends {
		if be.isAvailable() {
			count++
		}
	}
	return count
}

func (p *Pool) assign(be *backend) Result {
	be.inFlight++
	return Result{Server: be.BackendServer, InFlight: be.inFlight, Candidates: p.available(), Mean: p.meanDuration, backend: be}
}

func (p *Pool) refuse(reason string) Result {
	return Result{
		Err:        lovageyard.NotRun(reason, nil),
		Candidates: p.available(),
		RetryAfter: p.expectedWait() + p.meanDuration,
	}
}

// drainQueue assigns free slots to the queued requests, the earliest deadline first.
func (p *Pool) drainQueue(now time.Time) {
	for w := p.queue.first(); w != nil; w = p.queue.first() {
		r := w.request
		r.Now = now
		be := p.choose(r)
		if be == nil {
			return
		}
		p.queue.remove(w)
		w.deliver(p.assign(be))
	}
}

func (p *Pool) updateMean(d time.Duration) {
	if p.meanDuration == 0 {
		p.meanDuration = d
	}
	p.meanDuration += time.Duration(meanWeight * float64(d-p.meanDuration))
}

// expectedWait estimates the queueing time of a request that joins the queue now.
func (p *Pool) expectedWait() time.Duration {
	return time.Duration(float64(p.meanDuration) * float64(p.queue.Len()+1) / max(1, p.availableSlots()))
}

// availableSlots returns this instance's share of the slots of the available servers.
func (p *Pool) availableSlots() float64 {
	slots := 0
	for _, be := range p.backends {
		if be.isAvailable() {
			slots += be.slots
		}
	}
	return float64(slots) / float64(p.settings.Instances)
}

func (p *Pool) queueLimit() int {
	return max(1, int(p.settings.QueuePerSlot*p.availableSlots()))
}
