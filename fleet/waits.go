package fleet

import (
	"context"
	"sync"
)

// pendingWatches holds the calls that wait for changes, so that they can be given up together: a platform
// that falls silent for a moment may never answer any of them.
type pendingWatches struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
}

// add returns the context of a call that waits for the changes of a table, and what ends it.
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

// cancelAll ends all calls that wait.
func (w *pendingWatches) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancel {
		cancel()
	}
}
