package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const sampleLog = `
  1.000 node-a {"time":"2026-12-02T10:00:00.100Z","instance":"a","msg":"platform lost","table":"servers","error":"timeout"}
{"time":"2026-12-02T10:00:01.000Z","instance":"a","msg":"request","request-id":"x","outcome":"repeated","reason":"the server answered 500","attempts":1,"server":"s-1","site":"desk@n","verdict":"ran","service":"desk"}
not a line
{"time":"2026-12-02T10:00:00.500Z","instance":"b","msg":"configuration in force","version":7}
{"time":"2026-12-02T10:00:01.200Z","instance":"a","msg":"request","request-id":"x","outcome":"answered","status":200,"reason":"least expected time","attempts":2,"server":"s-2","site":"desk@n","verdict":"ran","service":"desk","route":"r","elapsed-ms":200}
{"time":"2026-12-02T10:00:01.300Z","instance":"a","msg":"request","request-id":"y","outcome":"refused","status":503,"reason":"the deadline can't be met","service":"desk"}
{"time":"2026-12-02T10:00:01.900Z","instance":"a","msg":"platform regained"}
`

func readSample(c *qt.C) *logs {
	path := filepath.Join(c.TempDir(), "log")
	c.Assert(os.WriteFile(path, []byte(sampleLog), 0o600), qt.IsNil)
	read, err := readLogs([]string{path}, nil)
	c.Assert(err, qt.IsNil)
	return read
}

func TestTraceOfARequest(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	for _, l := range readSample(c).requestTrace("x") {
		printLine(&out, l)
	}
	c.Assert(out.String(), qt.Equals, `10:00:00.100 a: platform lost: timeout
10:00:01.000 a: repeated after 0 ms, attempt 1: the server answered 500
    server s-1 of desk@n: expected in 0 ms, of which 0 ms wait, load 0.0 as reported 0 ms earlier; verdict ran
10:00:01.200 a: answered with 200 after 200 ms, attempt 2: least expected time
    route r, service desk, configuration 0, 0 ms left
    server s-2 of desk@n: expected in 0 ms, of which 0 ms wait, load 0.0 as reported 0 ms earlier; verdict ran
`)
	c.Assert(readSample(c).requestTrace("unknown"), qt.HasLen, 0)
}

// Reasons that differ only in addresses are one row; connection failures would otherwise give one row each.
func TestIncidentMergesReasonsThatDifferInAddresses(t *testing.T) {
	c := qt.New(t)
	var l logs
	for _, reason := range []string{
		"read tcp 10.1.0.41:32942->10.1.64.37:8700: read: connection reset by peer",
		"read tcp 10.3.0.31:32958->10.3.64.13:8700: read: connection reset by peer",
		"dial tcp 10.3.64.8:8700: i/o timeout",
	} {
		l.lines = append(l.lines, logLine{Message: "request", Outcome: "failed", Reason: reason})
	}
	c.Assert(l.summarize(time.Time{}, time.Time{}).Outcomes, qt.DeepEquals, []outcomeCount{
		{Outcome: "failed", Reason: "read tcp ADDRESS: read: connection reset by peer", Count: 2},
		{Outcome: "failed", Reason: "dial tcp ADDRESS: i/o timeout", Count: 1},
	})
}

func TestIncidentSummary(t *testing.T) {
	c := qt.New(t)
	summary := readSample(c).summarize(time.Time{}, time.Date(2026, 12, 2, 10, 0, 1, 500_000_000, time.UTC))
	c.Assert(summary.Requests, qt.Equals, 2)
	c.Assert(summary.Outcomes, qt.HasLen, 3)
	c.Assert(summary.Changes, qt.HasLen, 2)
	c.Assert(summary.BadLines, qt.Equals, 2)
}
