package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func main() {
	testing.Init()
	measured := costs()
	for _, c := range measured {
		fmt.Fprintln(os.Stderr, "measuring:", c.name)
		c.measure()
	}
	fmt.Print(slopes(measured))
	fmt.Print(roles(book(measured)))
}

// slopes returns the table of the fitted lines.
func slopes(measured []*cost) string {
	var b strings.Builder
	b.WriteString("### Slopes\n\n| cost | unit | sizes | at the largest size | base | slope | per | largest residual |\n|---|---|---|---|---|---|---|---|\n")
	for _, c := range measured {
		largest := c.points[len(c.points)-1]
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.0f | %.3g | %s | %.0f%% |\n", c.name, c.unit, sizesText(c.sizes),
			largest.cost, c.line.base, c.line.slope, c.per, 100*c.line.residual)
	}
	return b.String()
}

func sizesText(sizes []int) string {
	var parts []string
	for _, s := range sizes {
		parts = append(parts, fmt.Sprint(s))
	}
	return strings.Join(parts, ", ")
}

// book finds measured costs by their names.
type costBook map[string]line

func book(measured []*cost) costBook {
	b := make(costBook)
	for _, c := range measured {
		b[c.name] = c.line
	}
	return b
}

func (b costBook) at(name string, size float64) float64 {
	l, found := b[name]
	if !found {
		panic("no cost is named " + name)
	}
	return l.at(size)
}
