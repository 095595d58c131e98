package main

import (
	"fmt"
	"time"

	"lovageyard.example/lovageyard"
)

// service is one backend service of a deployment, with the class and the load of its requests.
type service struct {
	name        string
	class       string
	path        string
	method      string
	idempotent  bool
	importance  int
	servers     int
	slots       int
	connections int
	mean        time.Duration
	deadline    time.Duration
	rate        float64
	bytes       int
}

// deployment describes the sizes of a deployment and the delays of its network. landavgift and sanad are
// modelled on users of the system.
type deployment struct {
	name        string
	regions     []string
	perDomain   int
	domainDelay time.Duration
	regionDelay time.Duration
	services    []service
}

// Sizes and move limits of all deployments.
const (
	domainsPerRegion = 2
	blocksPerDomain  = 40
	moveCap          = 0.25
	moveInterval     = 4 * time.Second
)

func deployments() []deployment {
	return []deployment{landavgift(), sanad(), fleet()}
}

// landavgift has 12 entry instances and 44 backend servers in six failure domains.
func landavgift() deployment {
	const connections = 400
	return deployment{
		name:        "landavgift",
		regions:     []string{"svealand", "norrland", "gotaland"},
		perDomain:   2,
		domainDelay: 1500 * time.Microsecond,
		regionDelay: 35 * time.Millisecond,
		services: []service{
			{name: "movements", class: "movement-lookups", path: "/movements/", method: "GET", idempotent: true, importance: 8,
				servers: 12, slots: 8, connections: connections, mean: 40 * time.Millisecond, deadline: 2 * time.Second, rate: 400, bytes: 2000},
			{name: "charging", class: "charge-confirmations", path: "/charges/", method: "POST", importance: 9,
				servers: 12, slots: 4, connections: connections, mean: 40 * time.Millisecond, deadline: 3 * time.Second, rate: 80, bytes: 300},
			{name: "statements", class: "month-end-statements", path: "/statements/", method: "GET", idempotent: true, importance: 2,
				servers: 20, slots: 10, connections: connections, mean: 80 * time.Millisecond, deadline: 5 * time.Second, rate: 150, bytes: 100000},
		},
	}
}

// sanad needs at least 9 entry instances; here it has 12, and 38 backend servers.
func sanad() deployment {
	const connections = 330
	return deployment{
		name:        "sanad",
		regions:     []string{"amman", "irbid", "aqaba"},
		perDomain:   2,
		domainDelay: 1500 * time.Microsecond,
		regionDelay: 12 * time.Millisecond,
		services: []service{
			{name: "policy-desk", class: "policy-terms", path: "/policies/", method: "GET", idempotent: true, importance: 4,
				servers: 12, slots: 3, connections: connections, mean: 40 * time.Millisecond, deadline: 2 * time.Second, rate: 200, bytes: 4000},
			{name: "payout-desk", class: "claim-payouts", path: "/payouts/", method: "POST", importance: 9,
				servers: 12, slots: 3, connections: connections, mean: 50 * time.Millisecond, deadline: 3 * time.Second, rate: 60, bytes: 300},
			{name: "claims-view", class: "claim-status", path: "/claims/", method: "GET", idempotent: true, importance: 6,
				servers: 14, slots: 5, connections: connections, mean: 60 * time.Millisecond, deadline: 3 * time.Second, rate: 250, bytes: 20000},
		},
	}
}

// domains returns the names of the failure domains, ordered by region.
func (d deployment) domains() []string {
	var names []string
	for _, region := range d.regions {
		for n := range domainsPerRegion {
			names = append(names, fmt.Sprintf("%s-%d", region, n+1))
		}
	}
	return names
}

// regionOf returns the region of the failure domain at a position in domains.
func (d deployment) regionOf(position int) string {
	return d.regions[position/domainsPerRegion]
}

// serversIn returns the number of a service's servers in the failure domain at a position in domains.
func (d deployment) serversIn(s service, position int) int {
	domains := len(d.domains())
	count := s.servers / domains
	if position < s.servers%domains {
		count++
	}
	return count
}

func (s service) lovageyardClass() lovageyard.Class {
	return lovageyard.Class{
		Name:       s.class,
		Service:    s.name,
		Match:      []lovageyard.Match{{PathPrefix: s.path}},
		Idempotent: s.idempotent,
		Deadline:   lovageyard.Duration(s.deadline),
		Importance: s.importance,
		Target:     lovageyard.Target{Cap: moveCap, Interval: lovageyard.Duration(moveInterval)},
	}
}

// network returns the loopback network of the clients next to the failure domain at a position in domains.
func network(position int) string {
	const first = 10
	return fmt.Sprintf("127.%d.0.0/16", first+position)
}
