package grant

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDivideGrantsAtMostSpareCapacity(t *testing.T) {
	c := qt.New(t)
	holders := []string{"c", "a", "b"}
	p := Divide([]ServiceLoad{
		{Service: "desk", Site: "one", Capacity: 100, Load: 40, Measured: true},
		{Service: "desk", Site: "full", Capacity: 100, Load: 120, Measured: true},
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
	c.Assert(Differs(p, Divide([]ServiceLoad{{Service: "desk", Site: "one", Capacity: 100, Load: 50, Measured: true}}, holders), 0.1), qt.IsTrue)
	c.Assert(Divide(nil, nil).Grants, qt.HasLen, 0)
}

// The shares of all instances must add up to the rate without communication, and no share may be so
// small that it would accumulate for long.
func TestSharesAddUpToRate(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 1, 4.5, 100} {
		for _, count := range []int{1, 12, 300} {
			c := qt.New(t)
			var names []string
			for n := range count {
				names = append(names, fmt.Sprint("entry-", n))
			}
			sum := 0.0
			for _, name := range names {
				share := ShareOf(rate, names, "server", name)
				sum += share
				c.Check(share == 0 || share >= min(rate, 0.5) || share >= rate/float64(count), qt.IsTrue, qt.Commentf("%v", share))
			}
			c.Check(sum <= rate*(1+1e-9) && sum >= rate*(1-1e-9), qt.IsTrue, qt.Commentf("%v of %v", sum, rate))
			c.Check(ShareOf(rate, names, "server", "stranger"), qt.Equals, 0.0)
		}
	}
}

func TestTokenBucketWait(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bucket := NewTokenBucket(0.7, now)
	for range 10 {
		wait := bucket.Wait(now)
		c.Assert(wait > 0, qt.IsTrue)
		c.Assert(bucket.Take(now.Add(wait-2*time.Microsecond)), qt.IsFalse)
		now = now.Add(wait)
		c.Assert(bucket.Take(now), qt.IsTrue)
	}
	bucket.SetRate(0, now)
	c.Assert(bucket.Wait(now) > time.Hour, qt.IsTrue)
}

func TestTokenBucketKeepsRate(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 3, 1000} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		bucket := NewTokenBucket(rate, now)
		taken := 0
		const seconds = 60
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			for bucket.Take(now) {
				taken++
			}
		}
		c.Assert(float64(taken) <= rate*seconds+1, qt.IsTrue, qt.Commentf("%d taken at %v a second", taken, rate))
		c.Assert(float64(taken) >= rate*seconds*0.98-1, qt.IsTrue, qt.Commentf("%d taken at %v a second", taken, rate))
	}
}
