package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
)

// cost is one measured cost with its unit and what its size counts.
type cost struct {
	name   string
	per    string
	unit   string
	sizes  []int
	at     func(size int) float64
	points []point
	line   line
}

// measure takes the cost at every size and fits the line.
func (c *cost) measure() {
	for _, size := range c.sizes {
		c.points = append(c.points, point{size: float64(size), cost: c.at(size)})
	}
	c.line = fit(c.points)
}

// nanoseconds returns the time of one call of f, the best of a few trials.
func nanoseconds(f func()) float64 {
	const trials = 3
	best := 0.0
	for range trials {
		r := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
		ns := float64(r.T.Nanoseconds()) / float64(r.N)
		if best == 0 || ns < best {
			best = ns
		}
	}
	return best
}

// heapBytes returns the heap that the value made by f holds.
func heapBytes[T any](f func() T) float64 {
	before := heap()
	value := f()
	after := heap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

const perDomain = 22

func domainName(n int) string {
	return fmt.Sprintf("region-%02d-domain-%d", n/3, n%3)
}

func members(count int) []instance.Member {
	var list []instance.Member
	for n := range count {
		list = append(list, instance.Member{
			EntryInstance: lovageyard.EntryInstance{
				Name: fmt.Sprintf("entry-%05d", n), Life: 1, FailureDomain: domainName(n / perDomain),
				Region:        fmt.Sprintf("region-%02d", n/perDomain/3),
				CallerAddress: "192.0.2.100:7001", PeerAddress: "192.0.2.100:7002", OperatorAddress: "192.0.2.100:7003",
				State: lovageyard.StateLive,
			},
			Heartbeat: 1_000_000,
			Version:   1_000_000,
		})
	}
	return list
}

func instances(count int) []lovageyard.EntryInstance {
	var list []lovageyard.EntryInstance
	for _, m := range members(count) {
		list = append(list, m.EntryInstance)
	}
	return list
}

func blockTable(count int) *block.Table {
	entries := make([]block.Entry, 0, count)
	for n := range count {
		address := netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n), 0})
		entries = append(entries, block.Entry{Prefix: netip.PrefixFrom(address, 24), FailureDomain: domainName(n % 64)})
	}
	t, err := block.NewTable(entries)
	if err != nil {
		panic(err)
	}
	return t
}

func plan(homes, sites int) lovageyard.ClassPlan {
	p := lovageyard.ClassPlan{Class: "class", Step: 1}
	for n := range sites {
		p.Sites = append(p.Sites, fmt.Sprintf("site-%03d", n))
	}
	for n := range homes {
		h := lovageyard.HomePlacement{FailureDomain: domainName(n), Buckets: make([]int, lovageyard.Buckets)}
		for b := range h.Buckets {
			// A third of the buckets have been moved somewhere.
			h.Buckets[b] = n % sites
			if b%3 == 0 {
				h.Buckets[b] = (n*7 + b*11) % sites
			}
		}
		p.Homes = append(p.Homes, h)
	}
	return p
}

func round(homes, sites int) placement.Input {
	in := placement.Input{
		Now: time.Unix(1000, 0),
		Class: lovageyard.Class{
			Name:   "class",
			Target: lovageyard.Target{Cap: 0.1, Interval: lovageyard.Duration(time.Minute)},
		},
		Latencies: placement.Latencies{SameRegion: 2 * time.Millisecond, Else: 35 * time.Millisecond},
		Headroom:  0.2,
	}
	for n := range sites {
		in.Sites = append(in.Sites, placement.Site{
			Name: fmt.Sprintf("site-%03d", n), FailureDomain: domainName(n % homes),
			Region: fmt.Sprintf("region-%02d", n%homes/3), Capacity: 1000, Alive: true,
		})
	}
	for n := range homes {
		h := placement.Home{FailureDomain: domainName(n), Region: fmt.Sprintf("region-%02d", n/3)}
		for b := range h.Buckets {
			h.Buckets[b] = 5
		}
		in.Homes = append(in.Homes, h)
	}
	in.Current = placement.Round(in).Plan
	in.Reached = 1
	return in
}

func demandReport(classes int) *wire.DemandReport {
	r := &wire.DemandReport{FailureDomain: domainName(0), Reporter: "entry-00001"}
	for n := range classes {
		h := &wire.HomeDemand{FailureDomain: domainName(0), Buckets: make([]byte, lovageyard.Buckets)}
		r.Classes = append(r.Classes, &wire.ClassDemand{Class: fmt.Sprintf("class-%03d", n), Homes: []*wire.HomeDemand{h}})
	}
	return r
}

// rowSize returns the bytes that a row takes between peers.
func rowSize(value any) float64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	row := lovageyard.Row{Table: lovageyard.TablePlans, Key: "class", Version: 1, Value: data}
	return float64(proto.Size(peer.FromChanges(lovageyard.Changes{To: 1, Rows: []lovageyard.Row{row}})))
}

// costs returns the costs to measure.
func costs() []*cost {
	client := netip.MustParseAddr("10.1.2.3")
	return []*cost{
		{name: "look-up of a block", per: "block", unit: "ns", sizes: []int{7500, 15000, 30000, 60000, 120000}, at: func(n int) float64 {
			t := blockTable(n)
			return nanoseconds(func() { t.Find(client) })
		}},
		{name: "ranking of instances", per: "instance of the failure domain", unit: "ns", sizes: []int{2, 4, 8, 16, 32}, at: func(n int) float64 {
			list := instances(n)
			for i := range list {
				list[i].FailureDomain = domainName(0)
			}
			others := instances(perDomain * 64)
			d := instance.NewDirectory(append(list, others[perDomain:]...))
			return nanoseconds(func() { d.Rank(domainName(0), 12345) })
		}},
		{name: "table of blocks", per: "block", unit: "bytes of heap", sizes: []int{15000, 30000, 60000, 120000}, at: func(n int) float64 {
			return heapBytes(func() *block.Table { return blockTable(n) })
		}},
		{name: "table of members", per: "instance", unit: "bytes of heap", sizes: []int{175, 350, 700, 1400}, at: func(n int) float64 {
			list := members(n)
			return heapBytes(func() *instance.Table {
				t := instance.NewTable(list[0], time.Unix(1000, 0))
				for _, m := range list {
					t.Hear(m, time.Unix(1000, 0))
				}
				return t
			})
		}},
		{name: "directory for look-ups", per: "instance", unit: "ns", sizes: []int{175, 350, 700, 1400}, at: func(n int) float64 {
			list := instances(n)
			return nanoseconds(func() { instance.NewDirectory(list) })
		}},
		{name: "choice of members to pass on", per: "instance", unit: "ns", sizes: []int{175, 350, 700, 1400}, at: func(n int) float64 {
			t := instance.NewTable(members(1)[0], time.Unix(1000, 0))
			for _, m := range members(n) {
				t.Hear(m, time.Unix(1000, 0))
			}
			return nanoseconds(func() { t.Gossip(membersInOne, time.Unix(2000, 0)) })
		}},
		{name: "members in an exchange", per: "member passed on", unit: "bytes sent", sizes: []int{8, 16, 32, 64}, at: func(n int) float64 {
			r := &wire.ExchangeRequest{}
			for _, m := range members(n) {
				r.Members = append(r.Members, peer.FromMember(m))
			}
			return float64(proto.Size(r))
		}},
		{name: "steps of one member", per: "class that moves", unit: "bytes sent", sizes: []int{5, 10, 20, 40}, at: func(n int) float64 {
			m := members(1)[0]
			for c := range n {
				m.Steps = append(m.Steps, instance.Step{Class: fmt.Sprintf("class-%03d", c), Begun: 100, Settled: 99, Left: 0.5})
			}
			return float64(proto.Size(peer.FromMember(m)))
		}},
		{name: "report of demand", per: "class", unit: "bytes sent", sizes: []int{5, 10, 20, 40}, at: func(n int) float64 {
			return float64(proto.Size(demandReport(n)))
		}},
		{name: "row of a plan", per: "home failure domain", unit: "bytes sent", sizes: []int{8, 16, 32, 64}, at: func(n int) float64 {
			return rowSize(plan(n, 64))
		}},
		{name: "row of a plan in memory", per: "home failure domain", unit: "bytes", sizes: []int{8, 16, 32, 64}, at: func(n int) float64 {
			data, err := json.Marshal(plan(n, 64))
			if err != nil {
				panic(err)
			}
			return float64(len(data))
		}},
		{name: "decoding of a plan", per: "home failure domain", unit: "ns", sizes: []int{8, 16, 32, 64}, at: func(n int) float64 {
			data, err := json.Marshal(plan(n, 64))
			if err != nil {
				panic(err)
			}
			return nanoseconds(func() {
				var p lovageyard.ClassPlan
				_ = json.Unmarshal(data, &p)
			})
		}},
		{name: "applied placement of a class", per: "home failure domain", unit: "bytes of heap", sizes: []int{8, 16, 32, 64}, at: func(n int) float64 {
			p := plan(n, 64)
			return heapBytes(func() move.Applied { return move.FromPlan(p) })
		}},
		{name: "copy of an applied placement", per: "home failure domain", unit: "ns", sizes: []int{8, 16, 32, 64}, at: func(n int) float64 {
			a := move.FromPlan(plan(n, 64))
			return nanoseconds(func() { a.Clone() })
		}},
		{name: "round of placement, nothing to move", per: "site, 64 homes", unit: "ns", sizes: []int{64, 128, 256, 420}, at: func(n int) float64 {
			in := round(64, n)
			return nanoseconds(func() { placement.Round(in) })
		}},
		{name: "round of placement, one site drains", per: "site, 64 homes", unit: "ns", sizes: []int{64, 128, 256, 420}, at: func(n int) float64 {
			in := round(64, n)
			in.Orders = []lovageyard.SiteOrder{{Site: "site-001", Draining: true}}
			return nanoseconds(func() { placement.Round(in) })
		}},
	}
}
