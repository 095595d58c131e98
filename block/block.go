package block

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// ObjectName is the name under which the platform's object store keeps the table of blocks.
const ObjectName = "blocks"

// Prefix lengths of the block of a client that no entry of the table covers.
const (
	defaultBits4 = 24
	defaultBits6 = 48
)

const bucketShift = 58

// Entry gives the home failure domain of the clients of one prefix.
type Entry struct {
	Prefix        netip.Prefix `json:"prefix"`
	FailureDomain string       `json:"failure-domain"`
}

// Location is where a client's block belongs.
type Location struct {
	// Block is the prefix that the client is in.
	Block netip.Prefix
	// Home is the block's home failure domain, or "" if the table does not say.
	Home string
	// Bucket is the block's bucket, 0 to lovageyard.Buckets-1.
	Bucket int
	// Hash spreads blocks evenly.
	Hash uint64
}

// Table finds the place of a client; it is immutable.
type Table struct {
	starts  []netip.Addr
	entries []Entry
}

// Decode reads the JSON form of a table; overlapping prefixes are an error.
func Decode(data []byte) (*Table, error) {
	var entries []Entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, errors.Wrap(err, "blocks")
	}
	return NewTable(entries)
}

// NewTable returns the table of the entries.
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

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

// Find returns the place of a client; it allocates nothing.
func (t *Table) Find(client netip.Addr) Location {
	if !client.IsValid() {
		return Location{}
	}
	client = client.Unmap()
	position, found := slices.BinarySearchFunc(t.starts, client, netip.Addr.Compare)
	if !found {
		position--
	}
	if position >= 0 && t.entries[position].Prefix.Contains(client) {
		e := t.entries[position]
		return locate(e.Prefix, e.FailureDomain)
	}
	bits := defaultBits6
	if client.Is4() {
		bits = defaultBits4
	}
	prefix, err := client.Prefix(bits)
	if err != nil {
		return Location{}
	}
	return locate(prefix, "")
}

func locate(prefix netip.Prefix, home string) Location {
	raw := prefix.Addr().As16()
	sum := xxhash.Sum64(raw[:])
	return Location{
		Block:  prefix,
		Home:   home,
		Bucket: int(sum>>bucketShift) % lovageyard.Buckets,
		Hash:   sum,
	}
}
