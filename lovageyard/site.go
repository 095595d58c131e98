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

// Run starts the drain and returns once it is accepted; the moves go on in the background.
func (d *siteDrain) Run(s *invocation) error {
	by, err := parseDeadline(d.By, time.Now())
	if err != nil {
		return err
	}
	if err := s.client.Drain(s.context, d.Name, by); err != nil {
		return err
	}
	order := lovageyard.SiteOrder{Site: d.Name, Draining: true, EmptyBy: by}
	return s.print(order, func(w io.Writer) {
		fmt.Fprintf(w, "draining site %s%s; \"lovageyard move list\" shows the progress\n", d.Name, deadlineText(by))
	})
}

// deadlineText formats the drain's deadline for a message; it is empty without a deadline.
func deadlineText(by time.Time) string {
	if by.IsZero() {
		return ""
	}
	return " by " + by.Format(time.RFC3339)
}

// parseDeadline parses --by, a time or a duration from now. An empty text gives the zero time, no deadline.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if duration, err := time.ParseDuration(text); err == nil && duration > 0 {
		return now.Add(duration), nil
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

// Run ends the drain of the site; the planner may move work back to it.
func (r *siteRestore) Run(s *invocation) error {
	if err := s.client.Restore(s.context, r.Name); err != nil {
		return err
	}
	return s.print(lovageyard.SiteOrder{Site: r.Name}, func(w io.Writer) {
		fmt.Fprintf(w, "drain of site %s ended; work may move back to it\n", r.Name)
	})
}
