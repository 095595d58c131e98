package detour

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
)

// exclusionTime is how long a peer is not used after it could not send a request.
const exclusionTime = 2 * time.Second

// peers selects the instances through which requests are sent.
type peers struct {
	settings Settings

	mu sync.Mutex
	// excluded holds the peers that could not send a request, and until when they are not used.
	excluded map[string]time.Time
}

func newPeers(s Settings) *peers {
	return &peers{settings: s, excluded: make(map[string]time.Time)}
}

// any reports whether there is a peer that may handle the request, excluded or not.
func (p *peers) any(r link.Request) bool {
	return slices.ContainsFunc(p.settings.Source.View().Live, func(m lovageyard.EntryInstance) bool { return p.mayHandle(r, m) })
}

// mayHandle reports whether a request may pass through an instance: a request that is bound to regions may
// not leave them.
func (p *peers) mayHandle(r link.Request, m lovageyard.EntryInstance) bool {
	return m.Name != p.settings.Self && (len(r.Regions) == 0 || slices.Contains(r.Regions, m.Region))
}

// choose returns a peer for a request, and whether there is one. It prefers peers near the server, and among
// equals selects one at random, so that the requests of an instance are spread.
func (p *peers) choose(r link.Request, now time.Time) (lovageyard.EntryInstance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best lovageyard.EntryInstance
	bestRank, ties := 0, 0
	for _, m := range p.settings.Source.View().Live {
		if !p.mayHandle(r, m) || now.Before(p.excluded[m.Name]) {
			continue
		}
		rank := p.rank(r, m)
		switch {
		case ties == 0 || rank < bestRank:
			best, bestRank, ties = m, rank, 1
		case rank == bestRank:
			ties++
			if rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best, ties > 0
}

// Ranks of peers; the lowest is used first.
const (
	rankServerDomain = iota
	rankServerRegion
	rankOwnRegion
	rankOther
	// rankStale is added for a peer that asks not to be used.
	rankStale
)

func (p *peers) rank(r link.Request, m lovageyard.EntryInstance) int {
	rank := rankOther
	switch {
	case m.FailureDomain == r.ServerDomain:
		rank = rankServerDomain
	case m.Region == r.ServerRegion:
		rank = rankServerRegion
	case m.Region == p.settings.Region:
		rank = rankOwnRegion
	}
	if m.Stale {
		rank += rankStale
	}
	return rank
}

// exclude records that a peer could not send a request.
func (p *peers) exclude(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded[name] = now.Add(exclusionTime)
	for other, until := range p.excluded {
		if now.After(until) {
			delete(p.excluded, other)
		}
	}
}
