// Package dispatch selects the backend server of each request, or refuses the request and tells its
// client when to retry. It performs no I/O.
//
// It is designed for demand near or above the capacity of the servers, for objects that run three
// times faster at a server that has recently run them, and for several entry instances that share
// the servers and know each other's requests only from the load reports in responses.
//
// Requests that concern an object are sent to one home server, which is determined by rendezvous
// hashing, or to one alternate server while the home is full or very slow (home.go). Where servers share
// their machines with other workloads, objects have a second home (second.go). Other requests
// are sent to the server with the least expected completion time, which depends on network distance,
// queueing, work, speed and recent failures. The share of requests that leaves the region follows
// that estimate slowly (region.go, spillover.go). Requests wait in the queues of the servers, so that
// servers are never idle while there is work. A request is refused immediately if no eligible server
// has room or can answer before the deadline. In a lasting overload, homes accept only requests that they
// can answer within the goal (overload.go). Requests of different ranks leave room in queues to the more urgent
// (priority.go); in an overload lower ranks, and accounts that flood a service, are refused first (admission.go).
//
// Limits that hold for all instances together, such as the rate of requests to a cold server and the
// retry budget, are divided among the instances. An instance does not know what its previous incarnation
// has spent, nor what instances spend that it can't reach. It therefore uses its share only once it has
// run for the limit's window and while the others still count it.
package dispatch
