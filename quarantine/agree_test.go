package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovageyard.example/lovageyard/quarantine"
)

// Instances that see ends and answers in any order, and tell each other now and then, think the same once
// all has been told, and no request is held that was at fewer than three ends.
func TestTablesAgreeOnceAllIsTold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tables := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()}
		now := start
		ends := make(map[uint64]int)
		table := func() *quarantine.Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(r, "table")] }
		request := func() uint64 { return rapid.Uint64Range(1, 6).Draw(r, "request") }
		servers := 0
		tell := func(from, to *quarantine.Table) bool { return to.Merge(from.Report(now), now) }
		r.Repeat(map[string]func(*rapid.T){
			"end": func(*rapid.T) {
				now = now.Add(1500 * time.Millisecond)
				servers++
				at := make(map[uint64]bool)
				for range rapid.IntRange(1, 4).Draw(r, "requests") {
					lost := request()
					seen := table()
					seen.RecordLoss(server(servers), lost, now.Add(-time.Millisecond), now)
					at[lost] = true
				}
				for _, one := range tables {
					one.RecordCrash(server(servers), now)
				}
				for lost := range at {
					ends[lost]++
				}
			},
			"answer": func(*rapid.T) {
				now = now.Add(1500 * time.Millisecond)
				table().RecordSuccess(request(), now)
			},
			"tell": func(*rapid.T) {
				now = now.Add(100 * time.Millisecond)
				tell(table(), table())
			},
		})
		for news := true; news; {
			news = false
			for _, from := range tables {
				for _, to := range tables {
					news = tell(from, to) || news
				}
			}
		}
		for _, one := range tables {
			if one.Digest() != tables[0].Digest() || !slices.EqualFunc(one.Quarantined(), tables[0].Quarantined(), sameRequest) {
				r.Fatalf("held: %v and %v", one.Quarantined(), tables[0].Quarantined())
			}
			for _, h := range one.Quarantined() {
				if ends[h.Request] < 3 {
					r.Fatalf("request %d is held after %d ends", h.Request, ends[h.Request])
				}
			}
		}
	})
}

func sameRequest(a, b quarantine.QuarantinedRequest) bool { return a.Request == b.Request }
