package dispatch

import "time"

// Weights of the estimates of work.
const (
	// workWeight is the weight of a new answer in the mean work of a route.
	workWeight = 0.05
	// Shares of a route's goal that stand for its work until answers tell.
	firstCold = 1.2
	firstWarm = 0.4
	// fallbackGoal stands for the goal of a route that names none.
	fallbackGoal = 500 * time.Millisecond
)

// work estimates how long a route's requests run at a server.
type work struct {
	cold time.Duration
	warm time.Duration
}

func newWork(goal time.Duration) *work {
	if goal <= 0 {
		goal = fallbackGoal
	}
	return &work{
		cold: time.Duration(firstCold * float64(goal)),
		warm: time.Duration(firstWarm * float64(goal)),
	}
}

// expected returns the mean work on a warm or a cold object.
func (w *work) expected(warm bool) time.Duration {
	if warm {
		return w.warm
	}
	return w.cold
}

// learn takes in one run that did not wait.
func (w *work) learn(warm bool, took time.Duration) {
	mean := &w.cold
	if warm {
		mean = &w.warm
	}
	*mean += time.Duration(workWeight * float64(took-*mean))
}
