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

// HealthPath is the path at which backend servers report their load and health.
const HealthPath = "/load"

// Limits of a load probe.
const (
	probeTimeout   = time.Second
	maxReportBytes = 64 << 10
)

// LoadHeaderCodec is a Codec that reads load reports from the header lovageyard.LoadHeader, the ID of the attempt
// from lovageyard.AttemptHeader, and refusals from lovageyard.VerdictHeader.
type LoadHeaderCodec struct{}

// Answer returns the metadata of a response; it implements Codec.
func (LoadHeaderCodec) Answer(r *http.Response) lovageyard.ResponseMeta {
	meta := lovageyard.ResponseMeta{ID: r.Header.Get(lovageyard.AttemptHeader), NotRun: IsRefusal(r)}
	meta.Load, meta.Reported = ReportOf(r.Header)
	return meta
}

// IsRefusal reports whether a response says that the server did not run the request.
func IsRefusal(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(lovageyard.VerdictHeader) == string(lovageyard.VerdictNotRun)
}

// ReportOf returns the load report in the headers of a response, and whether there is a valid one.
func ReportOf(h http.Header) (lovageyard.LoadReport, bool) {
	var report lovageyard.LoadReport
	text := h.Get(lovageyard.LoadHeader)
	if text == "" || json.Unmarshal([]byte(text), &report) != nil {
		return lovageyard.LoadReport{}, false
	}
	return report, true
}

// Probe requests a load report from the HealthPath of a server.
func (t *Transport) Probe(ctx context.Context, s lovageyard.BackendServer) (lovageyard.LoadReport, error) {
	var report lovageyard.LoadReport
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+HealthPath, nil)
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	response, err := t.Stream(request, s, func() bool { return true })
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("probe: unexpected status %d", response.StatusCode)
	}
	// Read to the end, so that the connection can be reused.
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	return report, errors.Wrap(json.Unmarshal(text, &report), "probe")
}
