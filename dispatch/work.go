package dispatch

import "time"

// Weights of the estimates of work.
const (
	// workWeight is the weight of a new answer in the mean work of a route.
	workWeight = 0.05
	// firstShare is the share of a route's goal that stands for its work until answers tell.
	firstShare = 0.6
	// fallbackGoal stands for the goal of a route that names none.
	fallbackGoal = 500 * time.Millisecond
)

// work estimates how long a route's requests run at a server.
type work struct {
	mean time.Duration
}

func newWork(goal time.Duration) *work {
	if goal <= 0 {
		goal = fallbackGoal
	}
	return &work{mean: time.Duration(firstShare * float64(goal))}
}

// learn takes in one run that did not wait.
func (w *work) learn(took time.Duration) {
	w.mean += time.Duration(workWeight * float64(took-w.mean))
}
