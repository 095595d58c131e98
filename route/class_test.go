package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/server"
)

// A request that the failover cap refuses must not use up the allowance of the site that it was meant for.
func TestRefusalByTheFailoverCapUsesNoAllowance(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	now := start.Add(time.Second)
	pool := server.NewPool(server.Settings{Mode: server.RoundRobin, QueuePerSlot: 1}, 1)
	pool.SetServers([]lovageyard.BackendServer{{Name: "far-1", Slots: 4, State: lovageyard.StateLive}})
	limiter := move.NewLimiter(0.5, 100)
	r := ClassRoute{
		Limiter:         limiter,
		FailoverLimiter: limiter,
		Sites:           []Site{{Name: "far", Pool: pool, Allowance: grant.NewTokenBucket(4, start)}},
	}
	c.Assert(r.chooseFailover("near", now).Err, qt.IsNotNil)
	for range 100 {
		limiter.CountArrival()
	}
	c.Assert(r.chooseFailover("near", now).Site, qt.Equals, "far")
	c.Assert(r.chooseFailover("near", now).Err, qt.IsNotNil, qt.Commentf("the allowance is one request"))
}
