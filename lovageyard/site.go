package main

import (
	"fmt"
	"io"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/class"
)

type siteCommands struct {
	Drain   siteDrain   `cmd:"" help:"Move all work off a site, within the caps."`
	Restore siteRestore `cmd:"" help:"Let work come back to a site."`
}

type siteDrain struct {
	Name string `arg:"" help:"Name of the site."`
	By   string `help:"When the site has to be empty: a time such as 2026-12-02T18:00:00Z, or a span from now such as 30m."`
}

// Run orders the drain and tells what the plan says of it.
func (d *siteDrain) Run(s *invocation) error {
	by, err := parseBy(d.By, time.Now())
	if err != nil {
		return err
	}
	if err := s.client.Drain(s.context, d.Name, by); err != nil {
		return err
	}
	order := lovageyard.SiteOrder{Site: d.Name, Draining: true, EmptyBy: by}
	return s.print(order, func(w io.Writer) {
		fmt.Fprintf(w, "site %s is to be empty%s; \"lovageyard move list\" tells how far it is\n", d.Name, byText(by))
	})
}

func byText(by time.Time) string {
	if by.IsZero() {
		return ""
	}
	return " by " + by.Format(time.RFC3339)
}

func parseBy(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if span, err := time.ParseDuration(text); err == nil && span > 0 {
		return now.Add(span), nil
	}
	by, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return by, &class.FieldError{Field: "--by", Accepted: "a time such as 2026-12-02T18:00:00Z, or a span such as 30m"}
	}
	return by, nil
}

type siteRestore struct {
	Name string `arg:"" help:"Name of the site."`
}

// Run lifts the drain.
func (r *siteRestore) Run(s *invocation) error {
	if err := s.client.Restore(s.context, r.Name); err != nil {
		return err
	}
	return s.print(lovageyard.SiteOrder{Site: r.Name}, func(w io.Writer) {
		fmt.Fprintf(w, "work may come back to site %s\n", r.Name)
	})
}
