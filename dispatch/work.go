package dispatch

import "time"

// Parameters of the work estimates.
const (
	// workMeanWeight is the weight of a new answer in the mean work of a route.
	workMeanWeight = 0.05
	// workFadeInterval is the time without updates after which a mean that is too long fades, with a half-life
	// of workHalfLife.
	workFadeInterval = 3 * time.Second
	workHalfLife     = 4 * time.Second
	// initialWorkShare is the part of a route's goal that is assumed as its work until answers were
	// measured.
	initialWorkShare = 0.6
	// defaultGoal is the goal of a route that does not set one.
	defaultGoal = 500 * time.Millisecond
)

// workEstimator estimates how long requests run at a server.
type workEstimator struct {
	mean, initial time.Duration
	// changedAt is when the mean was last updated or faded.
	changedAt time.Time
}

func newWorkEstimator(goal time.Duration) *workEstimator {
	initial := time.Duration(initialWorkShare * float64(goalOrDefault(goal)))
	return &workEstimator{mean: initial, initial: initial}
}

// goalOrDefault returns the goal of a route, which is 0 if the route does not set one.
func goalOrDefault(goal time.Duration) time.Duration {
	if goal <= 0 {
		return defaultGoal
	}
	return goal
}

// update applies the duration of a run without its wait in a queue.
func (w *workEstimator) update(took time.Duration, now time.Time) {
	w.mean += time.Duration(workMeanWeight * float64(took-w.mean))
	w.changedAt = now
}

// fade moves a mean above the initial one towards it. It is called when a request is refused as hopeless, because
// a mean by which all requests are hopeless gets no updates.
func (w *workEstimator) fade(now time.Time) {
	if age := now.Sub(w.changedAt); w.mean > w.initial && age >= workFadeInterval {
		w.mean = w.initial + time.Duration(halfLifeFactor(min(age, 2*workFadeInterval), workHalfLife)*float64(w.mean-w.initial))
		w.changedAt = now
	}
}
