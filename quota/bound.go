package quota

import (
	"time"

	"lovageyard.example/lovageyard"
)

// tokensLast is how long tokens may be used that an owner has handed out.
const tokensLast = 350 * time.Millisecond

// limitShare and slackShare are the parts of what a bound allows that owners hand out. The rest is for requests that
// instances admit before their owner knows: for small accounts these are many beside their limit.
const (
	limitShare = 0.97
	slackShare = 0.3
)

// Bound is what operators allow the requests of an account to be in any window, over all instances: the
// limit, and a part of it and some requests beyond.
type Bound struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// span is the time in which the requests of one window may have got their tokens.
func (b Bound) span() time.Duration {
	return b.Window + tokensLast
}

// allowance returns how many tokens of an account may be handed out in any span.
func (b Bound) allowance(a *lovageyard.Account) float64 {
	limit := a.Rate*b.Window.Seconds() + a.Burst
	return limitShare*limit*(1+b.Excess) + slackShare*b.Slack
}

// capacity returns the size of an account's bucket: what may run at once when little ran before. The slack lets
// small accounts through whose few requests come unevenly.
func (b Bound) capacity(a *lovageyard.Account) float64 {
	return a.Burst + b.Slack/2
}

// rate returns the rate in tokens a second at which the allowance lasts: an account that asks for more than its
// limit is served evenly, not in bursts.
func (b Bound) rate(a *lovageyard.Account) float64 {
	return b.allowance(a) / b.span().Seconds()
}
