package main

import (
	"bytes"
	"image/color"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a chart.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	legendWidth = 6 * vg.Centimeter
	lineWidth   = vg.Length(1.2)
	changeWidth = vg.Length(0.4)
	// headroom is the ratio of the axis' upper end to the highest value.
	headroom = 1.15
)

// changeColor is the colour of the vertical lines that mark state changes.
var changeColor = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff}

// palette holds the colours of the curves whose outcome is not in outcomeColors.
var palette = []color.Color{
	color.RGBA{R: 0xd6, G: 0x2d, B: 0x20, A: 0xff},
	color.RGBA{R: 0x6a, G: 0x3d, B: 0x9a, A: 0xff},
	color.RGBA{R: 0x1f, G: 0x78, B: 0xb4, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
	color.RGBA{R: 0x17, G: 0xbe, B: 0xcf, A: 0xff},
	color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
	color.RGBA{R: 0xe3, G: 0x77, B: 0xc2, A: 0xff},
	color.RGBA{R: 0xbc, G: 0xbd, B: 0x22, A: 0xff},
	color.RGBA{R: 0x00, G: 0x00, B: 0xcd, A: 0xff},
	color.RGBA{R: 0x80, G: 0x80, B: 0x00, A: 0xff},
}

// outcomeColors fixes the colours of the outcomes that occur in most charts.
var outcomeColors = map[string]color.Color{
	outcomeInTime: color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	outcomeLate:   color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
}

// curve is one line of a chart: the requests with one outcome, by bin.
type curve struct {
	outcome string
	bins    map[int64]int
}

// curves returns one curve for each outcome of a name's requests: in time, late, then the others in
// alphabetical order.
func (t *tally) curves(dimension, name string) []curve {
	var all []curve
	for key, bins := range t.counts {
		if key.dimension == dimension && key.name == name {
			all = append(all, curve{outcome: key.outcome, bins: bins})
		}
	}
	slices.SortFunc(all, func(a, b curve) int { return strings.Compare(sortKey(a.outcome), sortKey(b.outcome)) })
	return all
}

// sortKey returns the key that curves are sorted by; a space and "!" sort before all letters.
func sortKey(outcome string) string {
	switch outcome {
	case outcomeInTime:
		return " "
	case outcomeLate:
		return "!"
	}
	return outcome
}

// chart returns an SVG of the outcomes of a name's requests over time, in requests a second.
func (t *tally) chart(dimension, name string) (string, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since " + t.first.UTC().Format(time.RFC3339)
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	legend := plot.NewLegend()
	legend.Top = true
	legend.Left = true
	highest := 0.0
	for i, c := range t.curves(dimension, name) {
		points := t.points(c.bins)
		for _, point := range points {
			highest = max(highest, point.Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", errors.Wrapf(err, "chart of %s %s", dimension, name)
		}
		line.Width = lineWidth
		line.Color = palette[i%len(palette)]
		if own := outcomeColors[c.outcome]; own != nil {
			line.Color = own
		}
		p.Add(line)
		legend.Add(c.outcome, line)
	}
	p.Y.Max = max(1, highest*headroom)
	p.X.Min = 0
	p.X.Max = max(1, t.last.Sub(t.first).Seconds())
	p.Add(changeLines{tally: t})
	canvas := vgsvg.New(chartWidth, chartHeight)
	whole := draw.New(canvas)
	p.Draw(draw.Crop(whole, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(whole, chartWidth-legendWidth, 0, 0, 0))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "chart")
	}
	return out.String(), nil
}

// points returns one point for each bin, 0 for a bin without requests.
func (t *tally) points(bins map[int64]int) plotter.XYs {
	var points plotter.XYs
	for bin := t.binOf(t.first); bin <= t.binOf(t.last); bin++ {
		start := time.Unix(0, bin*int64(t.width))
		points = append(points, plotter.XY{
			X: max(0, start.Sub(t.first).Seconds()),
			Y: float64(bins[bin]) / t.width.Seconds(),
		})
	}
	return points
}

// changeLines draws a dashed vertical line at each state change.
type changeLines struct {
	tally *tally
}

// Plot draws the lines over the canvas' whole height; it implements plot.Plotter.
func (m changeLines) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := draw.LineStyle{Color: changeColor, Width: changeWidth, Dashes: []vg.Length{2, 2}}
	for _, change := range m.tally.sortedChanges() {
		at := x(change.First.Sub(m.tally.first).Seconds())
		c.StrokeLine2(style, at, c.Min.Y, at, c.Max.Y)
	}
}
