// Package quarantine finds the requests that end the backend servers which run them, and tells them
// apart from those that were at such a server by chance.
//
// The load that it answers: one request that comes again and again, at any instance, under a new
// identity each time, and ends each server that begins to run it, with all that runs there beside it.
//
// A Table is pure: what was seen goes in, with the time, and judgements come out. A Watch adds what
// that needs of the world: probes of servers that broke off, log lines, and news for other instances.
package quarantine
