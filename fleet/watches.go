package fleet

import (
	"context"
	"sync"
)

// pendingWatches holds the cancel functions of the watches that wait for changes, by table. The watches are
// cancelled together: after a short outage the platform may never answer any of them. It is safe for
// concurrent use.
type pendingWatches struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
}

// add returns the context of a watch of a table, and a function that removes and cancels the watch.
func (w *pendingWatches) add(ctx context.Context, table string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		w.cancel = make(map[string]context.CancelFunc)
	}
	w.cancel[table] = cancel
	return ctx, func() {
		w.mu.Lock()
		delete(w.cancel, table)
		w.mu.Unlock()
		cancel()
	}
}

// cancelAll cancels all pending watches.
func (w *pendingWatches) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancel {
		cancel()
	}
}
