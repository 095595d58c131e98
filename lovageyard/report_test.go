package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var reportStart = time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)

// requestLine returns the log line of a request's outcome.
func requestLine(at time.Duration, rest string) string {
	return fmt.Sprintf(`{"time":"%s","instance":"a","msg":"request","route":"r","site":"desk@n",%s}`+"\n",
		reportStart.Add(at).Format(time.RFC3339Nano), rest)
}

func tallyOf(c *qt.C, width time.Duration, text string) (*tally, int) {
	t := newTally(width)
	malformed, err := scanLogs(nil, strings.NewReader(text), t.add)
	c.Assert(err, qt.IsNil)
	return t, malformed
}

func TestRequestsAreCountedByOutcome(t *testing.T) {
	c := qt.New(t)
	counts, malformed := tallyOf(c, time.Second, `{"time":"2026-12-02T10:00:00Z","instance":"a","msg":"started","region":"north"}
not a line
`+requestLine(time.Second, `"outcome":"answered","status":200,"elapsed-ms":100,"goal-ms":200`)+
		requestLine(time.Second, `"outcome":"answered","status":200,"elapsed-ms":300,"goal-ms":200`)+
		requestLine(time.Second, `"outcome":"answered","status":500,"elapsed-ms":300,"goal-ms":200`)+
		requestLine(time.Second, `"outcome":"refused","status":503,"reason":"full","cause":"region-full"`)+
		requestLine(time.Second, `"outcome":"repeated","reason":"the server answered 500"`)+
		requestLine(time.Second, `"outcome":"client gone","status":499`))
	c.Assert(malformed, qt.Equals, 1)
	want := total{Requests: 5, InTime: 1, Late: 1, Refused: 1, Other: 2}
	for dimension, name := range map[string]string{byAll: byAll, byClass: "r", byRegion: "north", bySite: "desk@n"} {
		want.Name = name
		c.Assert(counts.totals(dimension), qt.DeepEquals, []total{want})
	}
	c.Assert(counts.sortedChanges(), qt.DeepEquals, []stateChange{{Text: "started", First: reportStart, Instances: 1}})
}

// Memory must not grow with the length of a log. Doubling the bins' width must lose no count.
func TestLongLogsGetWiderBins(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	const requests = 5000
	for i := range requests {
		text.WriteString(requestLine(time.Duration(i)*time.Second, `"outcome":"answered","status":200`))
		fmt.Fprintf(&text, `{"time":"%s","instance":"a","msg":"change %d"}`+"\n",
			reportStart.Add(time.Duration(i)*time.Second).Format(time.RFC3339), i)
	}
	counts, _ := tallyOf(c, time.Second, text.String())
	c.Assert(counts.width, qt.Equals, 16*time.Second)
	c.Assert(counts.totals(byAll)[0].InTime, qt.Equals, requests)
	for _, bins := range counts.counts {
		c.Assert(len(bins) <= maxBins, qt.IsTrue)
	}
	c.Assert(len(counts.sortedChanges()), qt.Equals, maxChanges)
	c.Assert(counts.dropped, qt.Equals, requests-maxChanges)
}

func TestOverlongLineIsSkippedAndCounted(t *testing.T) {
	c := qt.New(t)
	long := `{"msg":"` + strings.Repeat("x", 3*maxLineBytes) + `"}` + "\n"
	counts, malformed := tallyOf(c, time.Second, long+requestLine(0, `"outcome":"answered","status":200`))
	c.Assert(malformed, qt.Equals, 1)
	c.Assert(counts.requests, qt.Equals, 1)
}

// The page must refer to no other file or address, and must escape markup in names, which come from logs.
func TestReportPageIsSelfContained(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	log := filepath.Join(dir, "log")
	text := requestLine(0, `"outcome":"answered","status":200`) +
		strings.ReplaceAll(requestLine(time.Second, `"outcome":"refused","cause":"<script>"`), `"r"`, `"<b>route"`)
	c.Assert(os.WriteFile(log, []byte(text), 0o600), qt.IsNil)
	var out strings.Builder
	command := reportCommand{Files: []string{log}, Page: filepath.Join(dir, "page.html"), Bin: time.Second}
	c.Assert(command.Run(&invocation{out: &out}), qt.IsNil)
	written, err := os.ReadFile(command.Page)
	c.Assert(err, qt.IsNil)
	page := string(written)
	c.Assert(strings.Count(page, "<svg"), qt.Equals, 5)
	for _, unwanted := range []string{"<script", "<b>", "src=", "href=\"http"} {
		c.Assert(page, qt.Not(qt.Contains), unwanted)
	}
	c.Assert(out.String(), qt.Contains, "2 requests")

	command.Files = []string{os.DevNull}
	c.Assert(command.Run(&invocation{out: &out}), qt.ErrorMatches, "the logs hold no request.*")
}

// The page has a section for client accounts if a request has one, and none otherwise.
func TestRequestsAreCountedByAccount(t *testing.T) {
	c := qt.New(t)
	counts, _ := tallyOf(c, time.Second, requestLine(0, `"outcome":"refused","status":429,"cause":"limit","account":"a"`)+
		requestLine(0, `"outcome":"answered","status":200,"account":"b"`)+requestLine(0, `"outcome":"answered","status":200`))
	c.Assert(counts.totals(byAccount), qt.DeepEquals, []total{
		{Name: "a", Requests: 1, Refused: 1}, {Name: "b", Requests: 1, InTime: 1},
	})
	var page strings.Builder
	c.Assert(writePage(&page, counts, 0), qt.IsNil)
	c.Assert(page.String(), qt.Contains, "By client account")
	without, _ := tallyOf(c, time.Second, requestLine(0, `"outcome":"answered","status":200`))
	page.Reset()
	c.Assert(writePage(&page, without, 0), qt.IsNil)
	c.Assert(page.String(), qt.Not(qt.Contains), "By client account")
}
