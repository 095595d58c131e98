package link

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// HealthPath is the path at which backend servers tell their load and health.
const HealthPath = "/load"

// Bounds of a question for a server's load.
const (
	probeTimeout = time.Second
	maxReport    = 64 << 10
)

// LoadHeaderCodec reads what servers that speak our own headers say in their answers.
type LoadHeaderCodec struct{}

// Answer returns what an answer says about itself.
func (LoadHeaderCodec) Answer(r *http.Response) lovageyard.ResponseMeta {
	var meta lovageyard.ResponseMeta
	meta.Load, meta.Reported = ReportOf(r.Header)
	return meta
}

// ReportOf returns the load report that an answer carries, and whether it does.
func ReportOf(h http.Header) (lovageyard.LoadReport, bool) {
	var report lovageyard.LoadReport
	text := h.Get(lovageyard.LoadHeader)
	if text == "" || json.Unmarshal([]byte(text), &report) != nil {
		return lovageyard.LoadReport{}, false
	}
	return report, true
}

// Probe asks a server for its load.
func (l *Transport) Probe(ctx context.Context, s lovageyard.BackendServer) (lovageyard.LoadReport, error) {
	var report lovageyard.LoadReport
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+HealthPath, nil)
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	response, err := l.Stream(request, s)
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("probe answered %d", response.StatusCode)
	}
	// Read to its end, so that the connection is kept.
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	return report, errors.Wrap(json.Unmarshal(text, &report), "probe")
}
