package block

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// ObjectName is the name of the table of blocks in the platform's object store.
const ObjectName = "blocks"

// Prefix lengths of the blocks of IPv4 and IPv6 clients that no entry of the table contains.
const (
	defaultPrefixBits4 = 24
	defaultPrefixBits6 = 48
)

// bucketShift leaves the upper 6 bits of a hash, for 64 buckets.
const bucketShift = 58

// Entry assigns a home failure domain to the clients of one prefix.
type Entry struct {
	Prefix        netip.Prefix `json:"prefix"`
	FailureDomain string       `json:"failure-domain"`
}

// Location is a client's block, with its home and bucket.
type Location struct {
	// Block is the prefix that contains the client's address.
	Block netip.Prefix
	// Home is the block's home failure domain, or "" if the table has none for it.
	Home string
	// Bucket is the block's bucket, 0 to lovageyard.Buckets-1.
	Bucket int
	// Hash is a uniformly distributed hash of the block.
	Hash uint64
}

// Table maps clients to locations. It is immutable and safe for concurrent use.
type Table struct {
	// starts holds the first address of each entry; both are in the order of addresses.
	starts  []netip.Addr
	entries []Entry
}

// Decode returns the table of a JSON array of entries. See NewTable for the errors.
func Decode(data []byte) (*Table, error) {
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Wrap(err, "blocks")
	}
	return NewTable(entries)
}

// NewTable returns a table with the given entries. It returns an error if a prefix is invalid or overlaps
// another, or if an entry has no failure domain.
func NewTable(entries []Entry) (*Table, error) {
	sorted := slices.Clone(entries)
	for i, e := range sorted {
		if !e.Prefix.IsValid() {
			return nil, errors.Errorf("blocks[%d].prefix: not a prefix", i)
		}
		if e.FailureDomain == "" {
			return nil, errors.Errorf("blocks[%d].failure-domain: empty", i)
		}
		sorted[i].Prefix = e.Prefix.Masked()
	}
	slices.SortFunc(sorted, func(a, b Entry) int {
		return a.Prefix.Addr().Compare(b.Prefix.Addr())
	})
	t := &Table{
		starts:  make([]netip.Addr, len(sorted)),
		entries: sorted,
	}
	for i, e := range sorted {
		if i > 0 && sorted[i-1].Prefix.Overlaps(e.Prefix) {
			return nil, errors.Errorf("blocks: %s overlaps %s", sorted[i-1].Prefix, e.Prefix)
		}
		t.starts[i] = e.Prefix.Addr()
	}
	return t, nil
}

// Len returns the number of entries of the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Find returns the location of a client, or the zero Location for an invalid address. It does not allocate.
func (t *Table) Find(client netip.Addr) Location {
	if !client.IsValid() {
		return Location{}
	}
	client = client.Unmap()
	index, found := slices.BinarySearchFunc(t.starts, client, netip.Addr.Compare)
	if !found {
		index--
	}
	if index >= 0 && t.entries[index].Prefix.Contains(client) {
		e := t.entries[index]
		return locationOf(e.Prefix, e.FailureDomain)
	}
	bits := defaultPrefixBits6
	if client.Is4() {
		bits = defaultPrefixBits4
	}
	prefix, err := client.Prefix(bits)
	if err != nil {
		return Location{}
	}
	return locationOf(prefix, "")
}

func locationOf(prefix netip.Prefix, home string) Location {
	raw := prefix.Addr().As16()
	hash := xxhash.Sum64(raw[:])
	return Location{
		Block:  prefix,
		Home:   home,
		Bucket: int(hash>>bucketShift) % lovageyard.Buckets,
		Hash:   hash,
	}
}
