package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/server"
)

type poolKey struct {
	service string
	site    string
}

// poolServer identifies one backend server of a pool.
type poolServer struct {
	poolKey
	server string
}

// pool is the state of one service at one site.
type pool struct {
	*server.Pool
	failureDomain string
	region        string
	servers       []lovageyard.BackendServer
	allowance     *grant.TokenBucket
	lastAnswers   uint64
	measuredAt    time.Time
	rate          float64
}

// setListing applies the platform's list. A server that is no longer listed gets no new
// requests. An empty list of servers is assumed to be a fault and leaves the pools and the age of the list
// unchanged.
func (c *Control) setListing(l lovageyard.Listing, readAt time.Time) {
	now := c.settings.Timer.Now()
	c.members.ApplyList(l.EntryInstances, now)
	c.dirty = true
	if len(l.BackendServers) == 0 {
		return
	}
	c.listing, c.listedAt = l, readAt
	byPool := make(map[poolKey][]lovageyard.BackendServer)
	for _, b := range l.BackendServers {
		k := poolKey{service: b.Service, site: b.Site}
		byPool[k] = append(byPool[k], b)
	}
	for k, servers := range byPool {
		c.setPool(k, servers, now)
	}
	for k, p := range c.pools {
		if _, found := byPool[k]; !found {
			p.servers = nil
			p.SetServers(nil)
		}
	}
	c.dropMarks()
}

// dropMarks deletes the marks of servers that are no longer listed.
func (c *Control) dropMarks() {
	for k := range c.marks {
		p := c.pools[k.poolKey]
		listed := p != nil && slices.ContainsFunc(p.servers, func(b lovageyard.BackendServer) bool {
			return b.Name == k.server
		})
		if !listed {
			delete(c.marks, k)
		}
	}
}

func (c *Control) setPool(k poolKey, servers []lovageyard.BackendServer, now time.Time) {
	p := c.pools[k]
	if p == nil {
		p = &pool{
			Pool:      server.NewPool(c.settings.Pool, c.random.Uint64()),
			allowance: grant.NewTokenBucket(0, now),
		}
		c.pools[k] = p
	}
	p.failureDomain = servers[0].FailureDomain
	p.region = servers[0].Region
	p.servers = servers
	p.SetServers(servers)
	for _, b := range servers {
		mark, found := c.marks[poolServer{poolKey: k, server: b.Name}]
		if found {
			p.SetState(b.Name, mark)
		}
	}
}

// setPoolInstances sets, for each pool, the number of entry instances that share its servers:
// those of the pool's failure domain, and this one.
func (c *Control) setPoolInstances() {
	inDomain := make(map[string]int)
	for _, i := range c.members.Live() {
		inDomain[i.FailureDomain]++
	}
	for _, p := range c.pools {
		instances := inDomain[p.failureDomain]
		if p.failureDomain != c.self.FailureDomain {
			instances++
		}
		p.SetInstances(instances)
	}
}

func (c *Control) expirePools(now time.Time) {
	for _, p := range c.pools {
		p.Expire(now)
	}
}

// ServerLeaving records a backend server's notification that it is leaving, and passes it on
// to the peers.
func (c *Control) ServerLeaving(service, site, name string) {
	c.inbox.Post(serverMark{
		poolServer: poolServer{poolKey: poolKey{service: service, site: site}, server: name},
		state:      lovageyard.StateLeaving,
	})
}

// serverMark sets the state of a server that was reported to be leaving, or to be live again.
type serverMark struct {
	poolServer
	state lovageyard.InstanceState
}

func (m serverMark) Apply(c *Control) {
	if c.marks[m.poolServer] == m.state {
		return
	}
	c.marks[m.poolServer] = m.state
	if p := c.pools[m.poolKey]; p != nil {
		p.SetState(m.server, m.state)
	}
	c.settings.Recorder.Record(lovageyard.Decision{
		Kind:   "server",
		Site:   m.site,
		Server: m.server,
		Reason: string(m.state),
	})
	c.exchangeAll(c.settings.Timer.Now())
}

// probe probes the suspect and the leaving servers. Those of other failure domains are farther
// away and are probed less often.
func (c *Control) probe(now time.Time) {
	remoteDue := c.isDue("probe elsewhere", remoteProbePeriod, now)
	for k, p := range c.pools {
		if p.failureDomain != c.self.FailureDomain && !remoteDue {
			continue
		}
		stats := p.Stats(now)
		for _, b := range slices.Concat(stats.Suspects, stats.Leaving) {
			if b.State == lovageyard.StateLive {
				c.probeServer(k, b)
			}
		}
	}
}

func (c *Control) probeServer(k poolKey, b lovageyard.BackendServer) {
	c.inbox.Call("probe "+b.Name, func(ctx context.Context) message {
		report, err := c.settings.Backend.Probe(ctx, b)
		return probeResult{poolServer: poolServer{poolKey: k, server: b.Name}, report: report, err: err}
	})
}

type probeResult struct {
	poolServer
	report lovageyard.LoadReport
	err    error
}

func (m probeResult) Apply(c *Control) {
	if m.err != nil {
		return
	}
	if p := c.pools[m.poolKey]; p != nil {
		p.ObserveReport(m.server, m.report, c.settings.Timer.Now())
	}
	if !m.report.Leaving && c.marks[m.poolServer] == lovageyard.StateLeaving {
		serverMark{poolServer: m.poolServer, state: lovageyard.StateLive}.Apply(c)
	}
}

// sortedPools returns the keys of the pools, sorted by service and site.
func (c *Control) sortedPools() []poolKey {
	keys := make([]poolKey, 0, len(c.pools))
	for k := range c.pools {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b poolKey) int {
		if n := strings.Compare(a.service, b.service); n != 0 {
			return n
		}
		return strings.Compare(a.site, b.site)
	})
	return keys
}

// regionOf returns the region of a failure domain, or "" if it is unknown.
func (c *Control) regionOf(failureDomain string, members []lovageyard.EntryInstance) string {
	for _, m := range members {
		if m.FailureDomain == failureDomain {
			return m.Region
		}
	}
	for _, p := range c.pools {
		if p.failureDomain == failureDomain {
			return p.region
		}
	}
	return ""
}
