package instance

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
)

// Numbers of instances in the response to a look-up.
const (
	homeRanks  = 2
	otherRanks = 2
	// MaxRanks is the maximum number of instances in a response.
	MaxRanks = homeRanks + otherRanks
)

// RelaysPerDomain is the number of instances of a failure domain that read the platform on behalf of the others.
const RelaysPerDomain = 2

// Directory ranks entry instances for look-ups. It is immutable and safe for concurrent use.
type Directory struct {
	domains []domain
	all     []int
	members []lovageyard.EntryInstance
	hashes  []uint64
}

type domain struct {
	name      string
	region    string
	positions []int
}

// Ranking is the result of one look-up: the first Count elements of Positions are positions in the
// directory, best first.
type Ranking struct {
	Positions [MaxRanks]int
	Count     int
}

// NewDirectory returns a directory of the given instances; positions refer to their order.
func NewDirectory(live []lovageyard.EntryInstance) *Directory {
	d := &Directory{}
	for i, m := range live {
		d.members = append(d.members, m)
		d.hashes = append(d.hashes, xxhash.Sum64String(m.Name))
		d.all = append(d.all, i)
		d.add(i, m)
	}
	slices.SortFunc(d.domains, func(a, b domain) int {
		return strings.Compare(a.name, b.name)
	})
	return d
}

func (d *Directory) add(position int, m lovageyard.EntryInstance) {
	for i := range d.domains {
		if d.domains[i].name == m.FailureDomain {
			d.domains[i].positions = append(d.domains[i].positions, position)
			return
		}
	}
	d.domains = append(d.domains, domain{name: m.FailureDomain, region: m.Region, positions: []int{position}})
}

// Instance returns the instance at a position, which must be below Len.
func (d *Directory) Instance(position int) *lovageyard.EntryInstance {
	return &d.members[position]
}

// Len returns the number of instances in the directory.
func (d *Directory) Len() int {
	return len(d.members)
}

// Rank returns the instances for a block: first those of its home failure domain, then one each of
// other failure domains, those of the same region first. If the home is unknown, it ranks all
// instances. It does not allocate.
func (d *Directory) Rank(home string, block uint64) Ranking {
	var r Ranking
	index, found := slices.BinarySearchFunc(d.domains, home, func(a domain, name string) int {
		return strings.Compare(a.name, name)
	})
	if !found {
		d.addBest(&r, d.all, block, MaxRanks)
		return r
	}
	own := &d.domains[index]
	d.addBest(&r, own.positions, block, homeRanks)
	d.addOtherDomains(&r, index, own.region, block, true)
	d.addOtherDomains(&r, index, own.region, block, false)
	return r
}

// addOtherDomains adds the best instance of each other failure domain inside or outside a region,
// starting at a domain that depends on the block, until the ranking is full.
func (d *Directory) addOtherDomains(r *Ranking, own int, region string, block uint64, inside bool) {
	start := int(block % uint64(len(d.domains)))
	for i := range d.domains {
		if r.Count >= MaxRanks {
			return
		}
		index := (start + i) % len(d.domains)
		if index == own || (d.domains[index].region == region) != inside {
			continue
		}
		d.addBest(r, d.domains[index].positions, block, r.Count+1)
	}
}

// addBest adds the positions with the highest scores until the ranking has the given count.
func (d *Directory) addBest(r *Ranking, positions []int, block uint64, count int) {
	for r.Count < count {
		chosen := -1
		score := uint64(0)
		for _, p := range positions {
			if s := MixHash(block ^ d.hashes[p]); (chosen < 0 || s > score) && !r.contains(p) {
				chosen = p
				score = s
			}
		}
		if chosen < 0 {
			return
		}
		r.Positions[r.Count] = chosen
		r.Count++
	}
}

func (r *Ranking) contains(position int) bool {
	for i := range r.Count {
		if r.Positions[i] == position {
			return true
		}
	}
	return false
}

// MixHash spreads the bits of a hash (the finalizer of MurmurHash3), so that the scores of one
// block are independent of each other.
func MixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ChooseRelays returns the names of up to RelaysPerDomain members of a failure domain that read the
// platform. Those with the widest links come first, as a relay receives each change in full; among
// equal links the rendezvous hash decides.
func ChooseRelays(live []lovageyard.EntryInstance, failureDomain string) []string {
	byLink := make(map[float64][]string)
	for _, i := range live {
		if i.FailureDomain == failureDomain {
			byLink[i.LinkMbps] = append(byLink[i.LinkMbps], i.Name)
		}
	}
	var relays []string
	for _, link := range slices.Backward(slices.Sorted(maps.Keys(byLink))) {
		relays = append(relays, Rendezvous(byLink[link], failureDomain, RelaysPerDomain-len(relays))...)
	}
	return relays
}

// Rendezvous returns up to count names with the highest rendezvous hash for a key, best first.
func Rendezvous(names []string, key string, count int) []string {
	salt := xxhash.Sum64String(key)
	score := func(name string) uint64 { return MixHash(salt ^ xxhash.Sum64String(name)) }
	chosen := slices.Clone(names)
	slices.SortFunc(chosen, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), strings.Compare(a, b))
	})
	return chosen[:min(count, len(chosen))]
}

// RendezvousRank returns the position of self among the names in the order of Rendezvous, from 0,
// or -1 if it is not one of them.
func RendezvousRank(names []string, key, self string) int {
	salt := xxhash.Sum64String(key)
	own := MixHash(salt ^ xxhash.Sum64String(self))
	rank, found := 0, false
	for _, name := range names {
		if name == self {
			found = true
			continue
		}
		if score := MixHash(salt ^ xxhash.Sum64String(name)); score > own || score == own && name < self {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}
