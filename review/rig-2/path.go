package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["path"] = pathCase }

// pathCase sends requests whose path has an escape. With trouble, the path begins with two slashes. A route with the
// prefix "/" takes both.
func pathCase(d *deployment) []string {
	l := &ledger{}
	for i, zone := range zones {
		s := startServer(l, fmt.Sprintf("i-charging-%d", i+1), "charging", zone, 4, 20*time.Millisecond)
		d.store.put("servers", s.id, s.entry())
	}
	d.store.put("op", "config", configuration(7, map[string]route{
		"r-charge": {Host: "charges.example", Prefix: "/", Kind: "non_idempotent", TimeoutMs: 1200, GoalMs: 500, Priority: 1, Service: "charging", Attempts: 2, Sticky: true},
		"r-lookup": {Host: "lookups.example", Prefix: "/", Kind: "idempotent", TimeoutMs: 1200, GoalMs: 400, Priority: 2, Service: "charging", Attempts: 2, Sticky: true},
	}, []string{"charging"}, nil))
	d.addEdges()
	d.startAll()
	time.Sleep(3 * time.Second)
	slash := "/"
	if trouble() {
		slash = "//"
	}
	var broken []string
	for n := range 24 {
		q := request{method: http.MethodGet, host: "lookups.example", id: newID(), deadline: 3 * time.Second, target: fmt.Sprintf("%smovements/ESSD%%2FARN/%d?from=%%32026", slash, n)}
		if n%2 == 0 {
			q.method, q.host, q.body = http.MethodPost, "charges.example", fmt.Sprintf("charge=%d", n)
			q.target = fmt.Sprintf("%scharges/ESSD%%2FARN/%d", slash, n)
		}
		e := d.edges[n%len(d.edges)]
		record("sent %s %s to %s: id %s", q.method, q.target, e.name, q.id)
		a := once(e.front, q)
		record("answered %s: %d, seal %q, error %v", q.id, a.status, a.header.Get("X-Server-Seal"), a.err)
		for _, r := range l.runsOf(q.id) {
			record("run %s at %s: %s %s, body %q", r.id, r.server, r.method, r.target, r.body)
			if r.method != q.method || r.target != q.target || r.body != q.body {
				broken = append(broken, fmt.Sprintf("UNASKED: id %s was sent as %s %s and run as %s %s", q.id, q.method, q.target, r.method, r.target))
			}
		}
		if len(l.runsOf(q.id)) == 0 {
			fail("request %s was not run: status %d, error %v", q.id, a.status, a.err)
		}
	}
	return broken
}
