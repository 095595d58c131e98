package peer

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/peer/wire"
)

func TestChangesRoundTrip(t *testing.T) {
	c := qt.New(t)
	long := bytes.Repeat([]byte("0,1,2,"), 3000)
	want := lovageyard.Changes{After: 3, To: 9, Rows: []lovageyard.Row{
		{Table: "plans", Key: "long", Version: 8, Value: long},
		{Table: "classes", Key: "short", Version: 9, Value: []byte("{}")},
		{Table: "classes", Key: "gone", Version: 4, Deleted: true},
	}}
	sent := FromChanges(want)
	c.Assert(len(sent.Rows[0].GetZipped()) < len(long)/20, qt.IsTrue)
	got, err := ToChanges(sent)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
}

func TestInvalidCompressedValuesAreRejected(t *testing.T) {
	bomb := Compress(make([]byte, maxValueSize+1))
	for _, zipped := range [][]byte{[]byte("no zstd"), bomb, bomb[:len(bomb)/2]} {
		c := qt.New(t)
		_, err := ToChanges(&wire.Changes{Rows: []*wire.Row{{Table: "plans", Key: "bad", Zipped: zipped}}})
		c.Assert(err, qt.ErrorMatches, "row plans/bad: .*")
	}
}

// A value must be decodable from its delta and the base, whatever the base is.
func TestDeltasRoundTrip(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		base := textOf(rapid.IntRange(0, 3<<20).Draw(t, "size of the base"))
		value := slices.Clone(base)
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			at := rapid.IntRange(0, len(value)).Draw(t, "at")
			part := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "part")
			value = slices.Insert(value, at, part...)
		}
		older := lovageyard.Row{Table: "orders", Key: "config", Version: 3, Value: base}
		newer := lovageyard.Row{Table: "orders", Key: "config", Version: 7, Value: value}
		sent := new(Encoder).EncodeChanges(lovageyard.Changes{To: 7, Rows: []lovageyard.Row{newer}},
			func(lovageyard.Row) (lovageyard.Row, bool) { return older, true })
		got, err := ToRow("orders", sent.GetRows()[0], base)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got.Value, value), qt.IsTrue)
	})
}

// textOf returns text of the given size, in bytes, that compresses as well as a list of routes.
func textOf(size int) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, `"r-%x":{"Host":"a.example","Prefix":"/%x/","Attempts":2,"TimeoutMs":1200},`, xxhash.Sum64([]byte{byte(n)}), n*n)
	}
	return b.Bytes()[:size]
}

// A configuration of 1 MB must not be compressed separately for each peer.
func TestValueIsCompressedOnceForEachBase(t *testing.T) {
	c := qt.New(t)
	e := new(Encoder)
	row := lovageyard.Row{Table: "orders", Key: "config", Version: 7, Value: textOf(10_000)}
	changes := lovageyard.Changes{To: 7, Rows: []lovageyard.Row{row}}
	first := e.EncodeChanges(changes, NoBase).GetRows()[0].GetZipped()
	second := e.EncodeChanges(changes, NoBase).GetRows()[0].GetZipped()
	c.Assert(&first[0], qt.Equals, &second[0])
	row.Version, row.Value = 8, textOf(9_000)
	third := e.EncodeChanges(lovageyard.Changes{To: 8, Rows: []lovageyard.Row{row}}, NoBase)
	got, err := ToRow("orders", third.GetRows()[0], nil)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, row)
}

func TestPlacementRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := move.Placement{Step: 4}
	home := move.Home{FailureDomain: "a"}
	for b := range lovageyard.Buckets {
		home.Cells = append(home.Cells, move.Cell{Site: "one", Target: "two", Shifted: float64(b) / lovageyard.Buckets, Moving: b%2 == 0})
	}
	want.Homes = append(want.Homes, home)
	c.Assert(ToPlacement(FromPlacement("class", want)), qt.DeepEquals, want)
	bad := FromPlacement("class", want)
	bad.Homes[0].Cells[5].Site = 99
	c.Assert(ToPlacement(bad).Homes, qt.HasLen, 0)
}

func TestRatesRoundTripWithinTolerance(t *testing.T) {
	c := qt.New(t)
	var rates []float64
	for rate := 0.01; rate < 20000; rate *= 1.07 {
		rates = append(rates, rate)
	}
	for i, got := range ToRates(FromRates(rates)) {
		c.Assert(math.Abs(got-rates[i]) <= 0.03*rates[i], qt.IsTrue, qt.Commentf("%v became %v", rates[i], got))
	}
	c.Assert(ToRates(FromRates([]float64{0, 1e-9, 1e9}))[:2], qt.DeepEquals, []float64{0, 0})
}

// After a restore of the platform's store, versions are assigned again: another value may have the version of
// the one that was compressed before.
func TestCompressedValueOfAnotherEraIsNotSent(t *testing.T) {
	c := qt.New(t)
	encoder := new(Encoder)
	for era, letter := range []string{"a", "b"} {
		value := bytes.Repeat([]byte(letter), 1000)
		sent := encoder.EncodeChanges(lovageyard.Changes{Era: int64(era), To: 7, Rows: []lovageyard.Row{{Table: "orders", Key: "config", Version: 7, Value: value}}}, NoBase)
		got, err := ToChanges(sent)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Era, qt.Equals, int64(era))
		c.Assert(string(got.Rows[0].Value), qt.Equals, string(value))
	}
}
