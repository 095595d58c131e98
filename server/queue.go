package server

import "container/heap"

// Waiter is a request in a pool's queue.
type Waiter struct {
	request  Request
	result   chan Result
	position int
	order    uint64
}

func newWaiter(r Request) *Waiter {
	return &Waiter{request: r, result: make(chan Result, 1), position: -1}
}

// Result delivers the result once.
func (w *Waiter) Result() <-chan Result {
	return w.result
}

func (w *Waiter) finish(r Result) {
	w.result <- r
}

// queue orders waiters by deadline, those of one deadline by arrival.
type queue struct {
	heap  waiterHeap
	order uint64
}

// Len returns the number of waiters.
func (q *queue) Len() int {
	return len(q.heap)
}

func (q *queue) push(w *Waiter) {
	q.order++
	w.order = q.order
	heap.Push(&q.heap, w)
}

func (q *queue) first() *Waiter {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

func (q *queue) remove(w *Waiter) bool {
	if w.position < 0 {
		return false
	}
	heap.Remove(&q.heap, w.position)
	return true
}

// evict removes the waiter of the least importance below the given one, the latest
// deadline among equals; it returns nil if there is none.
func (q *queue) evict(importance int) *Waiter {
	var worst *Waiter
	for _, w := range q.heap {
		if w.request.Importance >= importance {
			continue
		}
		if worst == nil || worse(w, worst) {
			worst = w
		}
	}
	if worst != nil {
		q.remove(worst)
	}
	return worst
}

func worse(a, b *Waiter) bool {
	if a.request.Importance != b.request.Importance {
		return a.request.Importance < b.request.Importance
	}
	return a.request.Deadline.After(b.request.Deadline)
}

type waiterHeap []*Waiter

func (h waiterHeap) Len() int {
	return len(h)
}

func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.order < b.order
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push adds a *Waiter; container/heap calls it.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.position = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter; container/heap calls it.
func (h *waiterHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	w.position = -1
	return w
}
