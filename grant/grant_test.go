package grant

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDivideNeverGrantsMoreThanTheSpare(t *testing.T) {
	c := qt.New(t)
	holders := []string{"c", "a", "b"}
	p := Divide([]Spare{
		{Service: "desk", Site: "one", Capacity: 100, Load: 40, Known: true},
		{Service: "desk", Site: "full", Capacity: 100, Load: 120, Known: true},
		{Service: "desk", Site: "unknown", Capacity: 100},
	}, holders)
	for _, test := range []struct {
		site string
		sum  float64
	}{{"one", 60}, {"full", 0}, {"unknown", 0}} {
		sum := 0.0
		for _, h := range append(holders, "stranger") {
			sum += Rate(p, h, "desk", test.site)
		}
		c.Assert(sum, qt.Equals, test.sum, qt.Commentf("%s", test.site))
	}
	c.Assert(Rate(p, "stranger", "desk", "one"), qt.Equals, 0.0)
	c.Assert(Differs(p, p, 0.1), qt.IsFalse)
	c.Assert(Differs(p, Divide(nil, holders), 0.1), qt.IsTrue)
	c.Assert(Differs(p, Divide([]Spare{{Service: "desk", Site: "one", Capacity: 100, Load: 50, Known: true}}, holders), 0.1), qt.IsTrue)
	c.Assert(Divide(nil, nil).Grants, qt.HasLen, 0)
}

func TestAllowanceSpendsItsRate(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 3, 1000} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		a := NewAllowance(rate, now)
		taken := 0
		const seconds = 60
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			for a.Take(now) {
				taken++
			}
		}
		c.Assert(float64(taken) <= rate*seconds+1, qt.IsTrue, qt.Commentf("%d taken at %v a second", taken, rate))
		c.Assert(float64(taken) >= rate*seconds*0.98-1, qt.IsTrue, qt.Commentf("%d taken at %v a second", taken, rate))
	}
}
