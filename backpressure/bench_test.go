package backpressure

import (
	"fmt"
	"testing"
	"time"

	"lovageyard.example/lovageyard"
)

func BenchmarkObserveLimitWithManyInstances(b *testing.B) {
	var names []string
	for n := range 1400 {
		names = append(names, fmt.Sprint("entry-", n))
	}
	r := NewRecord(names[0], "server", names)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Observe(lovageyard.Backpressure{Limited: true, Limit: float64(i%2 + 1)}, now, now)
	}
}
