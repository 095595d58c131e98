package dispatch

import "time"

// Parameters of the work estimates.
const (
	// workMeanWeight is the weight of a new answer in the mean work of a route.
	workMeanWeight = 0.05
	// initialWorkShare is the part of a route's goal that is assumed as its work until answers were
	// measured.
	initialWorkShare = 0.6
	// defaultGoal is the goal of a route that does not set one.
	defaultGoal = 500 * time.Millisecond
)

// workEstimator estimates how long a route's requests run at a server.
type workEstimator struct {
	mean time.Duration
}

func newWorkEstimator(goal time.Duration) *workEstimator {
	if goal <= 0 {
		goal = defaultGoal
	}
	return &workEstimator{mean: time.Duration(initialWorkShare * float64(goal))}
}

// update applies the duration of a run that did not wait in a queue.
func (w *workEstimator) update(took time.Duration) {
	w.mean += time.Duration(workMeanWeight * float64(took-w.mean))
}
