package server

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovageyard.example/lovageyard"
)

// Settings are the rules that a pool follows.
type Settings struct {
	// Mode is how a server is chosen.
	Mode Mode
	// QueuePerSlot is the length of the queue for each slot of the pool's servers.
	QueuePerSlot float64
	// Instances is the number of entry instances that share the servers, at least 1.
	Instances int
}

// Request asks a pool for a server.
type Request struct {
	Now      time.Time
	Deadline time.Time
	// Importance orders requests when not all can be queued; the lowest is refused first.
	Importance int
	// Avoid names a server that an earlier attempt failed at, or is "".
	Avoid string
}

// Result is a pool's answer to a Request: a server, or the error of a refusal.
type Result struct {
	Server     lovageyard.BackendServer
	InFlight   int
	Candidates int
	Err        *lovageyard.RequestError
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Mean is the mean answer time of the pool so far.
	Mean time.Duration

	member *member
}

// Pool holds the backend servers of one service at one site. Its methods may be
// called from several goroutines.
type Pool struct {
	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
	members  []*member
	queue    queue
	next     int
	mean     time.Duration
	answers  uint64
	listed   bool
}

// NewPool returns a pool without servers.
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

// SetServers takes in the list of servers: ones that join a pool begin cold, and ones
// that are no longer listed take no new work. Those of the first list are taken as ready,
// as it is this instance that is new, not they.
func (p *Pool) SetServers(servers []lovageyard.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.listed
	p.listed = true
	var members []*member
	for _, b := range servers {
		m := p.find(b.Name)
		if m == nil || m.Address != b.Address {
			m = newMember(b)
			if first {
				m.fire(eventWarm)
			}
		}
		m.BackendServer = b
		if b.State != lovageyard.StateLive {
			m.fire(eventLeaving)
		}
		members = append(members, m)
	}
	p.members = members
}

// SetState notes that a server is leaving, or that a leaving one has come back.
func (p *Pool) SetState(name string, state lovageyard.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.find(name)
	switch {
	case m == nil:
	case state == lovageyard.StateLive:
		m.fire(eventReturn)
	default:
		m.fire(eventLeaving)
	}
}

// Acquire gives a request a server, refuses it, or queues it; a queued request gets
// its result on the returned waiter's channel, and the Result is then empty.
func (p *Pool) Acquire(r Request) (Result, *Waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.choose(r); m != nil {
		return p.send(m), nil
	}
	if p.takers() == 0 {
		return p.refuse("no backend server of the site takes work"), nil
	}
	if wait := p.expectedWait(); r.Now.Add(wait + p.mean).After(r.Deadline) {
		return p.refuse("the deadline can't be met"), nil
	}
	if p.queue.Len() >= p.queueLimit() {
		evicted := p.queue.evict(r.Importance)
		if evicted == nil {
			return p.refuse("the queue is full"), nil
		}
		evicted.finish(p.refuse("a more important request took the place in the queue"))
	}
	w := newWaiter(r)
	p.queue.push(w)
	return Result{}, w
}

// Release returns the slot that a result gave and passes it to the queue.
func (p *Pool) Release(r Result, a lovageyard.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.member.inFlight--
	r.member.learn(a)
	if !a.Failed {
		p.answers++
		p.learnMean(a.Duration)
	}
	p.dispatch(a.At)
}

// MarkUnreachable notes that a server could not be reached; ObserveReport lifts it.
func (p *Pool) MarkUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.find(name); m != nil {
		m.fire(eventFailed)
	}
}

// ObserveReport takes in the answer to a probe.
func (p *Pool) ObserveReport(name string, r lovageyard.LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.find(name)
	if m == nil {
		return
	}
	if !r.Leaving {
		m.fire(eventHealthy)
	}
	m.learnReport(now, r)
	p.dispatch(now)
}

// Expire refuses the queued requests whose deadline has come, and passes on slots
// that others have given back.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := p.queue.first(); w != nil && !now.Add(p.mean).Before(w.request.Deadline); w = p.queue.first() {
		p.queue.remove(w)
		w.finish(p.refuse("the deadline came while the request was queued"))
	}
	p.dispatch(now)
}

// Cancel takes a waiter out of the queue; it returns false if the waiter has its result.
func (p *Pool) Cancel(w *Waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.remove(w)
}

// Stats counts what a pool holds.
type Stats struct {
	Servers   int
	Available int
	Suspects  []lovageyard.BackendServer
	Leaving   []lovageyard.BackendServer
	Slots     int
	InFlight  int
	Load      float64
	Queued    int
	// Mean is the mean answer time that this instance sees.
	Mean time.Duration
	// ServiceTime is the mean time that the servers report to spend on a request, or 0.
	ServiceTime time.Duration
	// Answers counts the answers so far.
	Answers uint64
}

// Stats returns the pool's counts at a time.
func (p *Pool) Stats(now time.Time) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Stats{Servers: len(p.members), Queued: p.queue.Len(), Mean: p.mean, Answers: p.answers}
	var reporting int
	for _, m := range p.members {
		c.InFlight += m.inFlight
		switch {
		case m.takesWork():
			c.Available++
			c.Slots += m.slots
			c.Load += m.load(now)
			if m.service > 0 {
				reporting++
				c.ServiceTime += (m.service - c.ServiceTime) / time.Duration(reporting)
			}
		case m.state == stateSuspect:
			c.Suspects = append(c.Suspects, m.BackendServer)
		case m.state == stateLeaving:
			c.Leaving = append(c.Leaving, m.BackendServer)
		}
	}
	return c
}

// HasAvailable says whether any server of the pool takes new work.
func (p *Pool) HasAvailable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takers() > 0
}

func (p *Pool) find(name string) *member {
	position := slices.IndexFunc(p.members, func(m *member) bool {
		return m.Name == name
	})
	if position < 0 {
		return nil
	}
	return p.members[position]
}

func (p *Pool) takers() int {
	count := 0
	for _, m := range p.members {
		if m.takesWork() {
			count++
		}
	}
	return count
}

func (p *Pool) send(m *member) Result {
	m.inFlight++
	return Result{Server: m.BackendServer, InFlight: m.inFlight, Candidates: p.takers(), Mean: p.mean, member: m}
}

func (p *Pool) refuse(reason string) Result {
	return Result{
		Err:        lovageyard.NotRun(reason, nil),
		Candidates: p.takers(),
		RetryAfter: p.expectedWait() + p.mean,
	}
}

// dispatch gives free slots to the queue's requests, the earliest deadline first.
func (p *Pool) dispatch(now time.Time) {
	for w := p.queue.first(); w != nil; w = p.queue.first() {
		r := w.request
		r.Now = now
		m := p.choose(r)
		if m == nil {
			return
		}
		p.queue.remove(w)
		w.finish(p.send(m))
	}
}

func (p *Pool) learnMean(d time.Duration) {
	if p.mean == 0 {
		p.mean = d
	}
	p.mean += time.Duration(smoothing * float64(d-p.mean))
}

// expectedWait estimates how long a request that joins the queue now would wait.
func (p *Pool) expectedWait() time.Duration {
	return time.Duration(float64(p.mean) * float64(p.queue.Len()+1) / max(1, p.share()))
}

// share returns the slots that this instance can count on.
func (p *Pool) share() float64 {
	slots := 0
	for _, m := range p.members {
		if m.takesWork() {
			slots += m.slots
		}
	}
	return float64(slots) / float64(p.settings.Instances)
}

func (p *Pool) queueLimit() int {
	return max(1, int(p.settings.QueuePerSlot*p.share()))
}
