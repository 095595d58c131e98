package footprint

import "sync"

// lengthWeight is the weight of a new response in the mean length of its route.
const lengthWeight = 0.1

// Lengths estimates the lengths of responses by route, so that memory for them is taken before the requests are
// sent. It knows only routes that have had a large response. It is safe for concurrent use; the zero value is ready.
type Lengths struct {
	mu    sync.RWMutex
	means map[string]float64
}

// Record applies the length of a response.
func (l *Lengths) Record(route string, length int64) {
	if !isLarge(length) && !l.knows(route) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, found := l.means[route]
	switch {
	case found:
		l.means[route] = mean + lengthWeight*(float64(length)-mean)
	case l.means == nil:
		l.means = map[string]float64{route: float64(length)}
	default:
		l.means[route] = float64(length)
	}
}

func (l *Lengths) knows(route string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, found := l.means[route]
	return found
}

// Expected returns the mean length of a route's recent responses if that is large, otherwise 0.
func (l *Lengths) Expected(route string) int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	mean := int64(l.means[route])
	if !isLarge(mean) {
		return 0
	}
	return mean
}
