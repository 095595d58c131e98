package main

import "math"

// point is one measured cost at one size.
type point struct {
	size float64
	cost float64
}

// line is a fitted cost: base + slope*size. Residual is the largest relative error of
// the fit at the measured points.
type line struct {
	base     float64
	slope    float64
	residual float64
}

// fit returns the least-squares line through the points.
func fit(points []point) line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.cost
		sumXX += p.size * p.size
		sumXY += p.size * p.cost
	}
	var l line
	l.slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	l.base = (sumY - l.slope*sumX) / n
	for _, p := range points {
		if p.cost != 0 {
			l.residual = math.Max(l.residual, math.Abs(l.at(p.size)-p.cost)/p.cost)
		}
	}
	return l
}

// at returns the cost at a size.
func (l line) at(size float64) float64 {
	return l.base + l.slope*size
}
