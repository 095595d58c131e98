package charge

import (
	"container/list"
	"sync"
	"time"
)

// Bounds of the claims that an instance remembers.
const (
	// retention exceeds the age of the copies from which the platform's store is restored.
	retention = 10 * time.Minute
	// maxRecent is the maximum number of claims, and maxRecentBodyBytes that of the bytes of their answers'
	// bodies.
	maxRecent          = 50_000
	maxRecentBodyBytes = 32 << 20
)

// recentClaims holds the claims that an instance changed last, to write them again if the platform's store
// loses them. It is safe for concurrent use.
type recentClaims struct {
	mu     sync.Mutex
	byKey  map[string]*list.Element
	order  *list.List
	bodies int
}

// recentClaim is an element of the list, which is in the order of the last changes.
type recentClaim struct {
	claim     Claim
	changedAt time.Duration
}

func newRecentClaims() *recentClaims {
	return &recentClaims{byKey: make(map[string]*list.Element), order: list.New()}
}

// put remembers a claim in place of an earlier one with its key. The body of an answer that exceeds the bound is
// not remembered.
func (r *recentClaims) put(c Claim, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, found := r.byKey[RowKey(c.Class, c.Key)]; found {
		r.remove(e)
	}
	r.expire(now)
	if c.Answer != nil && r.bodies+len(c.Answer.Body) > maxRecentBodyBytes {
		c.Answer = &Answer{Status: c.Answer.Status}
	}
	r.bodies += bodyBytes(&c)
	r.byKey[RowKey(c.Class, c.Key)] = r.order.PushBack(recentClaim{claim: c, changedAt: now})
}

// get returns the remembered claim with a row key.
func (r *recentClaims) get(rowKey string) (Claim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.byKey[rowKey]
	if !found {
		return Claim{}, false
	}
	return e.Value.(recentClaim).claim, true
}

// newestFirst returns the remembered claims, the one that changed last first.
func (r *recentClaims) newestFirst(now time.Duration) []Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	claims := make([]Claim, 0, r.order.Len())
	for e := r.order.Back(); e != nil; e = e.Prev() {
		claims = append(claims, e.Value.(recentClaim).claim)
	}
	return claims
}

// expire forgets the claims that are older than the retention or exceed the maximum number.
func (r *recentClaims) expire(now time.Duration) {
	for e := r.order.Front(); e != nil; e = r.order.Front() {
		if r.order.Len() < maxRecent && now-e.Value.(recentClaim).changedAt < retention {
			return
		}
		r.remove(e)
	}
}

func (r *recentClaims) remove(e *list.Element) {
	c := r.order.Remove(e).(recentClaim).claim
	delete(r.byKey, RowKey(c.Class, c.Key))
	r.bodies -= bodyBytes(&c)
}

func bodyBytes(c *Claim) int {
	if c.Answer == nil {
		return 0
	}
	return len(c.Answer.Body)
}
