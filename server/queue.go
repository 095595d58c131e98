package server

import "container/heap"

// Waiter is a request in the queue of a Pool.
type Waiter struct {
	request  Request
	result   chan Result
	index    int
	sequence uint64
}

func newWaiter(r Request) *Waiter {
	return &Waiter{request: r, result: make(chan Result, 1), index: -1}
}

// Result returns the channel on which the result is delivered once.
func (w *Waiter) Result() <-chan Result {
	return w.result
}

func (w *Waiter) deliver(r Result) {
	w.result <- r
}

// waitQueue orders waiters by deadline, and by arrival if the deadlines are equal.
type waitQueue struct {
	heap     waiterHeap
	sequence uint64
}

// Len returns the number of waiters.
func (q *waitQueue) Len() int {
	return len(q.heap)
}

func (q *waitQueue) push(w *Waiter) {
	q.sequence++
	w.sequence = q.sequence
	heap.Push(&q.heap, w)
}

func (q *waitQueue) first() *Waiter {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

func (q *waitQueue) remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	return true
}

// evict removes the waiter with the lowest importance below the given one, and the latest deadline
// if several have it. It returns nil if there is none.
func (q *waitQueue) evict(importance int) *Waiter {
	var worst *Waiter
	for _, w := range q.heap {
		if w.request.Importance >= importance {
			continue
		}
		if worst == nil || evictBefore(w, worst) {
			worst = w
		}
	}
	if worst != nil {
		q.remove(worst)
	}
	return worst
}

func evictBefore(a, b *Waiter) bool {
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
	return a.sequence < b.sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a *Waiter; it implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter; it implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	w.index = -1
	return w
}
