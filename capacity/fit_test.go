package main

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFit(t *testing.T) {
	for _, test := range []struct {
		name     string
		points   []point
		want     line
		residual float64
	}{
		{"exact", []point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, line{base: 3, slope: 2}, 0},
		{"flat", []point{{1, 4}, {2, 4}, {3, 4}}, line{base: 4}, 0},
		{"curved", []point{{1, 1}, {2, 4}, {3, 9}, {4, 16}}, line{base: -5, slope: 5}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := fit(test.points)
			c.Assert(math.Abs(got.base-test.want.base) < 1e-9, qt.IsTrue, qt.Commentf("%+v", got))
			c.Assert(math.Abs(got.slope-test.want.slope) < 1e-9, qt.IsTrue, qt.Commentf("%+v", got))
			c.Assert(math.Abs(got.residual-test.residual) < 1e-9, qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}
