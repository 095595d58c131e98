package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A run with large bodies, slow ones and pipelined requests, together with the faults of the base plan.
func TestHeavySeedRunsWithoutViolations(t *testing.T) {
	o := options{Heavy: true, Instances: 8, Servers: 10, Callers: 12, Span: 8 * time.Second}
	testSeeds(t, o, []uint64{50000})
}

// The checks of large bodies and pipelined requests must report each violation that a faulty system could show.
func TestCheckerReportsViolationsUnderHeavyLoad(t *testing.T) {
	now := time.Now()
	large := outcome{ID: "x", Instance: "127.0.0.1:1", Status: 200, Large: true, Matches: true, Start: now, End: now}
	for _, test := range []struct {
		name    string
		want    string
		trigger func(c *checker)
	}{
		{"a response out of order", ".*answer to another request.*", func(c *checker) {
			c.RecordOutcome(outcome{ID: "x", Status: 503, Foreign: true})
		}},
		{"a large response that ends halfway", ".*not its own whole answer.*", func(c *checker) { c.RecordOutcome(large) }},
		{"a stalled response of another request", ".*not its own whole answer.*", func(c *checker) {
			o := large
			o.Stalled, o.Matches = true, false
			c.RecordOutcome(o)
		}},
		{"an incomplete request body", ".*is not the caller's", func(c *checker) {
			c.RecordUpload("x", 1000)
			c.BodyReceived("s", "x", []byte("answer to x\n"))
		}},
		{"a stalled transfer goes on", ".*was not ended.*", func(c *checker) {
			o := large
			o.End = now.Add(stalledBound + time.Second)
			c.RecordStalled(o, now)
		}},
		{"a kind of request is never served", ".*served as /upload/", func(c *checker) {
			c.CountHeavy(downloadPrefix)
			c.CountHeavy(pipelined)
			c.CheckHeavy()
		}},
	} {
		c := newChecker()
		c.RegisterInstance("127.0.0.1:1", "entry", "north")
		test.trigger(c)
		qt.Check(t, c.violations, qt.HasLen, 1, qt.Commentf(test.name))
		for _, v := range c.violations {
			qt.Check(t, v, qt.Matches, test.want)
		}
	}
	// What a fault of the instance or a stalled caller explains is no violation.
	c := newChecker()
	c.RegisterInstance("127.0.0.1:1", "entry", "north")
	stalled := large
	stalled.Stalled = true
	c.RecordOutcome(stalled)
	c.RecordFault("entry", now.Add(-time.Second), now)
	c.RecordOutcome(large)
	qt.Assert(t, c.violations, qt.HasLen, 0)
}
