package dispatch

import (
	"slices"
	"time"
)

// A failure domain may be unreachable from this instance while its servers are healthy and listed.
// If servers were only evaluated one by one, each of them would have to time out on a request
// first. Therefore a whole domain is excluded once several of its servers have not answered.

const (
	// domainFailureThreshold is how many servers of a failure domain must time out consecutively,
	// without any answer from the domain in between, until the whole domain is excluded. One or two
	// servers fail by themselves in normal operation.
	domainFailureThreshold = 3
	// initialDomainExclusion is the first exclusion time of a domain. It doubles up to
	// maxDomainExclusion: each probe costs one request, and a domain should not be missing for
	// longer than that once it is reachable again.
	initialDomainExclusion = 400 * time.Millisecond
	maxDomainExclusion     = 2 * time.Second
)

// domainReachability records whether a failure domain answers this instance.
type domainReachability struct {
	inFlight int
	// unresponsive names the servers that have timed out since the domain last answered.
	unresponsive []string
	// exclusions counts the exclusions since the domain last answered, and excludedUntil is the end
	// of the latest one.
	exclusions    int
	excludedUntil time.Time
}

// isExcluded reports whether the domain is excluded, or is being probed by a request in flight.
func (r *domainReachability) isExcluded(now time.Time) bool {
	return r.exclusions > 0 && (now.Before(r.excludedUntil) || r.inFlight > 0)
}

// recordSuccess records an answer of any server of the domain, whole or broken.
func (r *domainReachability) recordSuccess() {
	r.unresponsive = r.unresponsive[:0]
	r.exclusions = 0
}

// recordTimeout records a request that a server of the domain did not answer.
func (r *domainReachability) recordTimeout(server string, now time.Time) {
	if !slices.Contains(r.unresponsive, server) {
		r.unresponsive = append(r.unresponsive, server)
	}
	if len(r.unresponsive) < domainFailureThreshold || now.Before(r.excludedUntil) {
		return
	}
	r.excludedUntil = now.Add(min(maxDomainExclusion, initialDomainExclusion<<min(r.exclusions, 3)))
	r.exclusions++
}

// reachabilityOf returns the reachability record of a failure domain.
func (t *Table) reachabilityOf(domain string) *domainReachability {
	known := t.reachability[domain]
	if known == nil {
		known = &domainReachability{}
		t.reachability[domain] = known
	}
	return known
}
