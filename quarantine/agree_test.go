package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovageyard.example/lovageyard/quarantine"
)

// Tables that record crashes and successes in any order, and exchange reports occasionally, reach the same
// state once every report has been delivered. No request is quarantined that was in flight at fewer than three
// crashes.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tables := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()}
		now := start
		crashes := make(map[uint64]int)
		table := func() *quarantine.Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(r, "table")] }
		request := func() uint64 { return rapid.Uint64Range(1, 6).Draw(r, "request") }
		servers := 0
		send := func(from, to *quarantine.Table) bool { return to.Merge(from.Report(now), now) }
		r.Repeat(map[string]func(*rapid.T){
			"end": func(*rapid.T) {
				now = now.Add(1500 * time.Millisecond)
				servers++
				lost := make(map[uint64]bool)
				for range rapid.IntRange(1, 4).Draw(r, "requests") {
					fingerprint := request()
					observer := table()
					observer.RecordLoss(server(servers), fingerprint, now.Add(-time.Millisecond), now)
					lost[fingerprint] = true
				}
				for _, replica := range tables {
					replica.RecordCrash(server(servers), now)
				}
				for fingerprint := range lost {
					crashes[fingerprint]++
				}
			},
			"answer": func(*rapid.T) {
				now = now.Add(1500 * time.Millisecond)
				table().RecordSuccess(request(), now)
			},
			"tell": func(*rapid.T) {
				now = now.Add(100 * time.Millisecond)
				send(table(), table())
			},
		})
		for changed := true; changed; {
			changed = false
			for _, from := range tables {
				for _, to := range tables {
					changed = send(from, to) || changed
				}
			}
		}
		for _, replica := range tables {
			if replica.Digest() != tables[0].Digest() || !slices.EqualFunc(replica.Quarantined(), tables[0].Quarantined(), sameRequest) {
				r.Fatalf("quarantined: %v and %v", replica.Quarantined(), tables[0].Quarantined())
			}
			for _, q := range replica.Quarantined() {
				if crashes[q.Request] < 3 {
					r.Fatalf("request %d is quarantined after %d crashes", q.Request, crashes[q.Request])
				}
			}
		}
	})
}

func sameRequest(a, b quarantine.QuarantinedRequest) bool { return a.Request == b.Request }
