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

// Sizes of a chart.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	legendWidth = 6 * vg.Centimeter
	lineWidth   = vg.Length(1.2)
	markWidth   = vg.Length(0.4)
	// headroom is how far the axis goes above the highest value.
	headroom = 1.15
)

// markColor is that of the lines at which beliefs changed.
var markColor = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff}

// palette holds the colours of the curves after those that have one of their own.
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

// endColors are the colours of ends that are in most charts.
var endColors = map[string]color.Color{
	endInTime: color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	endLate:   color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
}

// curve is one line of a chart: requests by bin.
type curve struct {
	end  string
	bins map[int64]int
}

// curves returns how the requests of a name ended, by bin: in time, late, then by name.
func (t *tally) curves(dimension, name string) []curve {
	var all []curve
	for key, bins := range t.counts {
		if key.dimension == dimension && key.name == name {
			all = append(all, curve{end: key.end, bins: bins})
		}
	}
	slices.SortFunc(all, func(a, b curve) int { return strings.Compare(orderOf(a.end), orderOf(b.end)) })
	return all
}

// orderOf returns what sorts the ends of requests.
func orderOf(end string) string {
	switch end {
	case endInTime:
		return " "
	case endLate:
		return "!"
	}
	return end
}

// chart draws how the requests of a name ended, in requests a second, as SVG.
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
		if own := endColors[c.end]; own != nil {
			line.Color = own
		}
		p.Add(line)
		legend.Add(c.end, line)
	}
	p.Y.Max = max(1, highest*headroom)
	p.X.Min = 0
	p.X.Max = max(1, t.last.Sub(t.first).Seconds())
	p.Add(markLines{tally: t})
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

// points returns a curve's points; a bin without requests is 0.
func (t *tally) points(bins map[int64]int) plotter.XYs {
	var points plotter.XYs
	for bin := t.bin(t.first); bin <= t.bin(t.last); bin++ {
		begin := time.Unix(0, bin*int64(t.width))
		points = append(points, plotter.XY{
			X: max(0, begin.Sub(t.first).Seconds()),
			Y: float64(bins[bin]) / t.width.Seconds(),
		})
	}
	return points
}

// markLines draws a thin line at each change of belief.
type markLines struct {
	tally *tally
}

// Plot draws the lines; it belongs to plot.Plotter.
func (m markLines) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := draw.LineStyle{Color: markColor, Width: markWidth, Dashes: []vg.Length{2, 2}}
	for _, change := range m.tally.sortedMarks() {
		at := x(change.First.Sub(m.tally.first).Seconds())
		c.StrokeLine2(style, at, c.Min.Y, at, c.Max.Y)
	}
}
