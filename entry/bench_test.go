package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
)

// succeeding is a sender whose servers answer with a small body.
type succeeding struct{ sender }

func (*succeeding) Send(_ context.Context, r link.Request) (*link.Response, error) {
	if r.Reserve != nil {
		if err := r.Reserve(5); err != nil {
			return nil, err
		}
	}
	answer := *success(http.StatusOK).answer
	return &answer, nil
}

// BenchmarkSmallRequest measures what the memory budget and the minimum rate cost requests that they do not concern.
func BenchmarkSmallRequest(b *testing.B) {
	for _, test := range []struct {
		name string
		pool *footprint.Pool
		rate int64
	}{{"without limits", nil, 0}, {"with limits", footprint.NewPool(32 << 20), 1000}} {
		b.Run(test.name, func(b *testing.B) {
			h := newHarness(b)
			h.memory, h.minBodyRate = test.pool, test.rate
			h.path, h.lines = &succeeding{}, io.Discard
			handler := h.handler()
			request := httptest.NewRequest(http.MethodGet, "/x/", http.NoBody)
			request.Host = "a.example"
			request.Header.Set("X-Request-Id", "id-1")
			b.ReportAllocs()
			for b.Loop() {
				handler.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
}
