package block

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFind(t *testing.T) {
	table, err := Decode([]byte(`[
		{"prefix": "192.0.2.0/24", "failure-domain": "a"},
		{"prefix": "198.51.0.0/16", "failure-domain": "b"},
		{"prefix": "2001:db8::/32", "failure-domain": "c"}
	]`))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ client, block, home string }{
		{"192.0.2.7", "192.0.2.0/24", "a"},
		{"::ffff:192.0.2.7", "192.0.2.0/24", "a"},
		{"198.51.255.255", "198.51.0.0/16", "b"},
		{"198.52.0.1", "198.52.0.0/24", ""},
		{"10.0.0.1", "10.0.0.0/24", ""},
		{"2001:db8:1::1", "2001:db8::/32", "c"},
		{"2001:db9:1:2::1", "2001:db9:1::/48", ""},
	} {
		t.Run(test.client, func(t *testing.T) {
			c := qt.New(t)
			location := table.Find(netip.MustParseAddr(test.client))
			c.Assert(location.Block.String(), qt.Equals, test.block)
			c.Assert(location.Home, qt.Equals, test.home)
		})
	}
	c := qt.New(t)
	c.Assert(table.Find(netip.Addr{}) == Location{}, qt.IsTrue)
	allocations := testing.AllocsPerRun(100, func() { table.Find(netip.MustParseAddr("192.0.2.7")) })
	c.Assert(allocations, qt.Equals, 0.0)
}

func TestDecodeErrors(t *testing.T) {
	for _, test := range []struct{ data, want string }{
		{`{}`, `blocks: .*`},
		{`[{"prefix": "192.0.2.0/24"}]`, `blocks\[0\].failure-domain: empty`},
		{`[{"failure-domain": "a"}]`, `blocks\[0\].prefix: not a prefix`},
		{`[{"prefix": "192.0.2.0/24", "failure-domain": "a"}, {"prefix": "192.0.0.0/16", "failure-domain": "b"}]`, `blocks: .* overlaps .*`},
	} {
		c := qt.New(t)
		_, err := Decode([]byte(test.data))
		c.Assert(err, qt.ErrorMatches, test.want)
	}
}
