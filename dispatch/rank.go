package dispatch

import "lovageyard.example/lovageyard"

// When the queues of servers are nearly full, requests that are less urgent than the common rank
// leave part of each queue to the others.

// commonRank returns the rank up to which requests of a route may fill the queues. If accounts are
// configured, it is the rank that most accounts have, as a queue that only a few may fill stays
// empty for most; otherwise it is the route's rank.
func commonRank(c *lovageyard.Configuration, route lovageyard.Route) int {
	if len(c.Accounts) == 0 {
		return route.Rank
	}
	counts := make(map[int]int)
	for _, a := range c.Accounts {
		counts[a.Rank]++
	}
	common := c.Accounts[0].Rank
	for rank, count := range counts {
		if count > counts[common] || count == counts[common] && rank > common {
			common = rank
		}
	}
	return common
}
