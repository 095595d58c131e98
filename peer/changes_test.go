package peer

import (
	"bytes"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/peer/wire"
)

func TestChangesKeepTheirRows(t *testing.T) {
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

func TestBadRowsAreRefused(t *testing.T) {
	bomb := Zip(make([]byte, maxValue+1))
	for _, zipped := range [][]byte{[]byte("no gzip"), bomb, bomb[:len(bomb)/2]} {
		c := qt.New(t)
		_, err := ToChanges(&wire.Changes{Rows: []*wire.Row{{Table: "plans", Key: "bad", Zipped: zipped}}})
		c.Assert(err, qt.ErrorMatches, "row plans/bad: .*")
	}
}

func TestAppliedKeepsItsCells(t *testing.T) {
	c := qt.New(t)
	want := move.Applied{Step: 4}
	home := move.Home{FailureDomain: "a"}
	for b := range lovageyard.Buckets {
		home.Cells = append(home.Cells, move.Cell{Site: "one", Next: "two", Settled: float64(b) / lovageyard.Buckets, Moving: b%2 == 0})
	}
	want.Homes = append(want.Homes, home)
	c.Assert(ToApplied(FromApplied("class", want)), qt.DeepEquals, want)
	bad := FromApplied("class", want)
	bad.Homes[0].Cells[5].Site = 99
	c.Assert(ToApplied(bad).Homes, qt.HasLen, 0)
}

func TestRatesKeepTheirSize(t *testing.T) {
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
