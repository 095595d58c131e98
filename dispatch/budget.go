package dispatch

import "time"

// RetryBound limits the attempts beyond the first ones that all instances together may send to a
// service.
type RetryBound struct {
	// Ratio is the allowed number of retries per request within one Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries allowed in addition to Ratio, for all instances together.
	Slack float64
}

const (
	// retryBoundShare is the part of the bound that is used, as retries may arrive at servers later
	// than they were counted.
	retryBoundShare = 0.9
	// creditShare is the part of the Ratio that a request earns. The retries of a window are paid for
	// by its own requests, and by the credit that requests of the window before have left.
	creditShare = 0.5
	// slackWindowFactor prolongs the window in which spent slack is counted, as the oldest of its
	// buckets is incomplete.
	slackWindowFactor = windowBuckets / (windowBuckets - 1.0)
)

// RetryDecision tells whether a retry is allowed, and why.
type RetryDecision struct {
	Allowed bool
	// Credit is the number of retries that the requests of the last window have earned and that are
	// not spent, and Slack what is left of this instance's share of the slack; both without this retry.
	Credit, Slack float64
	// Instances is the number of instances among which the slack is divided.
	Instances int
}

// budget decides on the retries of one service at this instance.
//
// The instance does not know what its previous incarnations have spent in the current window. Credit
// is therefore earned by requests only, and lost with the incarnation: whatever is restarted, the
// retries of a window stay within what its requests and those of the window before have earned. The
// share of the slack is usable only by an instance that knows its spending of a whole window.
type budget struct {
	requests   windowCount
	slackSpent windowCount
	credit     float64
}

// recordRequest records a first attempt.
func (b *budget) recordRequest(bound RetryBound, now time.Time) {
	b.requests.add(1, bound.Window, now)
	b.credit += creditPerRequest(bound)
}

// takeRetry decides on a retry, and records it if it is allowed. slack is this instance's usable share
// of the slack.
func (b *budget) takeRetry(bound RetryBound, slack float64, now time.Time) RetryDecision {
	b.credit = min(b.credit, creditPerRequest(bound)*b.requests.sum(bound.Window, now))
	slackWindow := time.Duration(slackWindowFactor * float64(bound.Window))
	d := RetryDecision{Credit: b.credit, Slack: max(0, retryBoundShare*slack-b.slackSpent.sum(slackWindow, now))}
	d.Allowed = d.Credit+d.Slack >= 1
	if d.Allowed {
		fromCredit := min(1, b.credit)
		b.credit -= fromCredit
		b.slackSpent.add(1-fromCredit, slackWindow, now)
	}
	return d
}

func creditPerRequest(bound RetryBound) float64 {
	return retryBoundShare * creditShare * bound.Ratio
}
