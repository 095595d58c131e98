package quota

import (
	"time"

	"lovageyard.example/lovageyard"
)

// tokenLifetime is how long granted tokens may be used.
const tokenLifetime = 350 * time.Millisecond

// limitShare and slackShare are the fractions of a bound's limit and slack that owners hand out. The rest is
// left for requests that instances admit before their owner learns of them, which are many for small accounts
// in proportion to the limit.
const (
	limitShare = 0.97
	slackShare = 0.3
)

// Bound is the number of requests of an account that operators tolerate in any window, over all instances
// together: the limit, which is the account's rate over the window plus its burst; Excess as a fraction of
// that; and Slack further requests.
type Bound struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// accountingWindow is the time within which the requests of one window may have been granted their tokens.
func (b Bound) accountingWindow() time.Duration {
	return b.Window + tokenLifetime
}

// allowance returns how many tokens of an account may be handed out within any accountingWindow.
func (b Bound) allowance(a *lovageyard.Account) float64 {
	limit := a.Rate*b.Window.Seconds() + a.Burst
	return limitShare*limit*(1+b.Excess) + slackShare*b.Slack
}

// capacity returns the size of an account's bucket, that is, the burst that is admitted after little traffic.
// Half of the slack is added for small accounts, whose few requests arrive unevenly.
func (b Bound) capacity(a *lovageyard.Account) float64 {
	return a.Burst + b.Slack/2
}

// rate returns the refill rate in tokens a second that uses up the allowance, so that an account beyond its
// limit is served evenly instead of in bursts.
func (b Bound) rate(a *lovageyard.Account) float64 {
	return b.allowance(a) / b.accountingWindow().Seconds()
}
