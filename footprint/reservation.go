package footprint

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLarge means that a number of bytes does not fit, even if nothing else is reserved.
var ErrTooLarge = errors.New("more bytes than the memory budget allows for one request")

// Reservation is the part of a Pool that belongs to one request. A nil Reservation has no bytes. It is safe for
// concurrent use.
type Reservation struct {
	pool *Pool
	// bytes is guarded by the pool's mutex, as all other fields are.
	bytes    int64
	released bool
	// server is the server to which assigned bytes are in flight, or "".
	server   string
	assigned int64
}

// waiter is a reservation that waits until its new size fits.
type waiter struct {
	reservation *Reservation
	bytes       int64
	admitted    chan struct{}
}

// Resize changes the number of reserved bytes, and reports whether they fit; if not, nothing changes. Large
// requests do not grow while responses of requests that have run wait for bytes.
func (r *Reservation) Resize(bytes int64, now time.Time) bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	grows := bytes > r.bytes
	if grows && (!r.fits(bytes) || isLarge(bytes) && len(r.pool.waiters) > 0) {
		return false
	}
	r.pool.apply(r, bytes, now)
	return true
}

// Await changes the number of reserved bytes for the response of a request that has run. If they do not fit, it
// waits for others to be released until ctx is done.
func (r *Reservation) Await(ctx context.Context, bytes int64, now time.Time) error {
	w, err := r.enqueue(bytes, now)
	if err != nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if r.pool.remove(w, now) {
		return errors.Wrap(ctx.Err(), "waiting for memory")
	}
	return nil
}

// Assign counts the reserved bytes as in flight to a server until Unassign, and reports whether the server's share
// allows that. A request that is larger than the share is allowed alone.
func (r *Reservation) Assign(server string) bool {
	if r == nil {
		return true
	}
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.servers[server]
	after := before.replace(0, r.bytes)
	if before.all > 0 && !p.serverLimits.admits(after, r.bytes) {
		return false
	}
	p.setServer(server, after)
	r.server, r.assigned = server, r.bytes
	return true
}

// Unassign ends an assignment; without one it does nothing.
func (r *Reservation) Unassign() {
	if r == nil {
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.unassign()
}

func (r *Reservation) unassign() {
	if r.server == "" {
		return
	}
	r.pool.setServer(r.server, r.pool.servers[r.server].replace(r.assigned, 0))
	r.server, r.assigned = "", 0
}

// setServer sets the bytes in flight to a server, and forgets a server without any.
func (p *Pool) setServer(name string, u usage) {
	if u == (usage{}) {
		delete(p.servers, name)
		return
	}
	p.servers[name] = u
}

// Release returns all bytes. Further calls do nothing. It must not be called while Await waits.
func (r *Reservation) Release(now time.Time) {
	if r == nil {
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.unassign()
	r.pool.apply(r, 0, now)
}

// fits reports whether the reservation may have a number of bytes.
func (r *Reservation) fits(bytes int64) bool {
	return !r.released && r.pool.limits.admits(r.pool.total.replace(r.bytes, bytes), bytes)
}

// enqueue adds a waiter behind the others; it is admitted immediately if its bytes fit and none wait.
func (r *Reservation) enqueue(bytes int64, now time.Time) (*waiter, error) {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.released || !p.limits.admits(usage{}.replace(0, bytes), bytes) {
		return nil, ErrTooLarge
	}
	w := &waiter{reservation: r, bytes: bytes, admitted: make(chan struct{})}
	if bytes <= r.bytes {
		p.apply(r, bytes, now)
		close(w.admitted)
		return w, nil
	}
	p.waiters = append(p.waiters, w)
	p.admitWaiters(now)
	return w, nil
}

// admitWaiters admits waiters in order, as long as their bytes fit.
func (p *Pool) admitWaiters(now time.Time) {
	for len(p.waiters) > 0 {
		next := p.waiters[0]
		if !next.reservation.fits(next.bytes) {
			return
		}
		p.waiters = p.waiters[1:]
		p.apply(next.reservation, next.bytes, now)
		close(next.admitted)
	}
}

// remove ends a wait, and returns false if the waiter was admitted before.
func (p *Pool) remove(w *waiter, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	p.admitWaiters(now)
	return true
}
