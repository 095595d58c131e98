package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/platform"
)

// maxAddresses is the largest number of addresses that clients accept in one answer.
const maxAddresses = 64

// Directory answers look-ups of the addresses of entry instances.
type Directory struct {
	Source Source
	// KeepFor is how long clients may cache an answer.
	KeepFor time.Duration
}

// ServeHTTP answers one look-up, or 503 while this instance is not ready.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.LookUpPath {
		http.NotFound(w, r)
		return
	}
	query := platform.ParseLookUpQuery(r.URL.Query())
	view := d.Source.View()
	if !view.Ready {
		// The client then asks the next instance, which may have a more complete view.
		http.Error(w, "this instance is not ready", http.StatusServiceUnavailable)
		return
	}
	answer := platform.LookUpResponse{
		Addresses:  addresses(view, query.Region),
		TTLSeconds: d.KeepFor.Seconds(),
	}
	if len(answer.Addresses) == 0 {
		http.Error(w, "no entry instance is known to be alive", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if view.Leaving {
		w.Header().Set("Connection", "close")
	}
	_, _ = w.Write(body)
}

// addresses returns the addresses that a client of a region should connect to. It prefers the region's
// instances that are not stale, then the region's other instances, then those of other regions.
func addresses(view *catalog.View, region string) []string {
	var own, stale, others []string
	for _, m := range view.Live {
		switch {
		case m.State != lovageyard.StateLive:
		case m.Region != region:
			others = append(others, m.CallerAddress)
		case m.Stale:
			stale = append(stale, m.CallerAddress)
		default:
			own = append(own, m.CallerAddress)
		}
	}
	if len(own) == 0 {
		own = stale
	}
	if len(own) == 0 {
		own = others
	}
	return own[:min(maxAddresses, len(own))]
}

// Readiness answers the platform's readiness probes.
type Readiness struct {
	Source Source
}

// ServeHTTP answers 200 while this instance accepts requests, otherwise 503.
func (d *Readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	view := d.Source.View()
	if !view.Ready || view.Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
