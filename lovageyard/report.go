package main

import (
	"fmt"
	"html/template"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
)

// maxCharts is the maximum number of charts of one dimension. The names with the most requests that were
// not answered in time get a chart; the tables list all names.
const maxCharts = 12

type reportCommand struct {
	Files []string      `arg:"" optional:"" help:"Log files of entry instances; standard input if there are none."`
	Page  string        `default:"report.html" help:"File that the page is written to."`
	Bin   time.Duration `default:"1s" help:"Width of the bins of time; long logs get wider ones."`
}

// Run writes an HTML page with tables and charts of request outcomes, from logs read in one pass.
func (r *reportCommand) Run(s *invocation) error {
	if r.Bin <= 0 {
		return errors.New("--bin: more than 0s")
	}
	counts := newTally(r.Bin)
	malformed, err := scanLogs(r.Files, os.Stdin, counts.add)
	if err != nil {
		return err
	}
	if counts.requests == 0 {
		return errors.Errorf("the logs hold no request (%d malformed lines)", malformed)
	}
	file, err := os.Create(r.Page)
	if err != nil {
		return errors.Wrap(err, "--page")
	}
	defer file.Close()
	if err := writePage(file, counts, malformed); err != nil {
		return errors.Wrap(err, "--page")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "--page")
	}
	summary := reportSummary{Page: r.Page, Requests: counts.requests, BadLines: malformed}
	return s.print(summary, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d requests, %d malformed lines\n", r.Page, counts.requests, malformed)
	})
}

// reportSummary is the command's result in JSON output.
type reportSummary struct {
	Page     string `json:"page"`
	Requests int    `json:"requests"`
	BadLines int    `json:"bad-lines"`
}

// page is the data of pageTemplate.
type page struct {
	First, Last   time.Time
	Bin           time.Duration
	Requests, Bad int
	Overview      template.HTML
	Sections      []section
	Marks         []stateChange
	DroppedMarks  int
}

// section holds the table and the charts of one dimension.
type section struct {
	Title  string
	Totals []total
	Charts []chart
}

type chart struct {
	Name string
	SVG  template.HTML
}

// writePage writes a self-contained page: it refers to no other file and no network address.
func writePage(w io.Writer, t *tally, malformed int) error {
	overview, err := t.chart(byAll, byAll)
	if err != nil {
		return err
	}
	p := page{
		First: t.first.UTC(), Last: t.last.UTC(), Bin: t.width, Requests: t.requests, Bad: malformed,
		// The SVG needs no escaping: the chart library escapes the names in it.
		Overview: template.HTML(overview),
		Marks:    t.sortedChanges(), DroppedMarks: t.dropped,
	}
	for _, dimension := range []string{byClass, byRegion, bySite, byAccount} {
		s, err := t.section(dimension)
		if err != nil {
			return err
		}
		if len(s.Totals) > 0 {
			p.Sections = append(p.Sections, s)
		}
	}
	return pageTemplate.Execute(w, p)
}

func (t *tally) section(dimension string) (section, error) {
	s := section{Title: dimension, Totals: t.totals(dimension)}
	for i, sum := range s.Totals {
		if i >= maxCharts {
			break
		}
		svg, err := t.chart(dimension, sum.Name)
		if err != nil {
			return s, err
		}
		s.Charts = append(s.Charts, chart{Name: sum.Name, SVG: template.HTML(svg)})
	}
	return s, nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>lovageyard: request outcomes</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { padding: 0.15em 0.8em; text-align: right; border-bottom: 1px solid #ddd; }
td:first-child, th:first-child { text-align: left; }
</style>
</head>
<body>
<h1>Request outcomes</h1>
<p>{{.First.Format "2006-01-02 15:04:05"}} to {{.Last.Format "2006-01-02 15:04:05"}} UTC, bins of {{.Bin}}: {{.Requests}} requests; {{.Bad}} malformed lines.
Times are measured at the entry instances and exclude the network to the client. Dashed lines mark state changes of instances.</p>
{{.Overview}}
{{range .Sections}}<h2>By {{.Title}}</h2>
<table><tr><th>{{.Title}}</th><th>requests</th><th>in time</th><th>late</th><th>refused</th><th>failed, rejected or client gone</th></tr>
{{range .Totals}}<tr><td>{{.Name}}</td><td>{{.Requests}}</td><td>{{.InTime}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Other}}</td></tr>
{{end}}</table>
{{range .Charts}}<h3>{{.Name}}</h3>
{{.SVG}}
{{end}}{{end}}<h2>State changes</h2>
{{if .DroppedMarks}}<p>{{.DroppedMarks}} more are not shown.</p>{{end}}
<table><tr><th>first seen</th><th>change</th><th>instances</th></tr>
{{range .Marks}}<tr><td>{{.First.UTC.Format "15:04:05.000"}}</td><td>{{.Text}}</td><td>{{.Instances}}</td></tr>
{{end}}</table>
</body>
</html>
`))
