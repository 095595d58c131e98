package meter_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/meter"
)

func TestNumberOfSeriesIsLimited(t *testing.T) {
	c := qt.New(t)
	set := meter.NewSet()
	for i := range 5000 {
		set.Count(meter.Answers, fmt.Sprint("service-", i), "200")
	}
	set.Count(meter.Answers, "service-0", "200")
	var text strings.Builder
	set.Write(&text)
	c.Assert(strings.Count(text.String(), "counter answers."), qt.Equals, 501)
	c.Assert(text.String(), qt.Contains, "counter answers.others\n  count:            4500\n")
	c.Assert(text.String(), qt.Contains, "counter answers.service-0.200\n  count:               2\n")
}

func TestWriteIncludesEachKind(t *testing.T) {
	c := qt.New(t)
	set := meter.NewSet()
	set.Update(meter.InFlight, 7)
	set.Add(meter.PeerRows, 3, "servers")
	set.Observe(meter.Latency, 12, "desk")
	var text strings.Builder
	set.Write(&text)
	for _, part := range []string{"gauge requests-in-flight\n  value:               7", "counter peer-rows.servers\n  count:               3", "histogram latency.desk"} {
		c.Assert(text.String(), qt.Contains, part)
	}
}

func TestNamesAreUnique(t *testing.T) {
	names := make(map[string]bool)
	for _, m := range meter.All() {
		qt.Check(t, names[m.Name], qt.IsFalse, qt.Commentf("%s", m.Name))
		names[m.Name] = true
	}
}

// If this test fails, run scripts/metrics to regenerate the page.
func TestPageIsCurrent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "METRICS.md"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(page), qt.Equals, meter.Page())
}
