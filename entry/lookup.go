package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/lookup"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/platform"
)

// maxAddresses is the largest number of addresses that clients accept in one answer.
const maxAddresses = 64

// Directory answers look-ups of the addresses of entry instances.
type Directory struct {
	Source Source
	// KeepFor is how long clients may cache an answer.
	KeepFor time.Duration
	// Selector selects among the instances of the client's region; nil means that all are returned.
	Selector *lookup.Selector
	// The fields below are used only with a Selector.
	Utilisation Utilisation
	Timer       lovageyard.Timer
	Logger      *logrus.Logger
	Metrics     *meter.Set
}

// Utilisation provides the last known utilisation of instances.
type Utilisation interface {
	// Utilisation returns fractions of the instances' capacity, by name.
	Utilisation() map[string]float64
}

// Selections of look-ups, as metrics name them.
const (
	selectionAll           = "all"
	selectionHighBandwidth = "high-bandwidth"
)

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
		Addresses:  d.addresses(view, query.Region),
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

// addresses returns the addresses that a client of a region should connect to: those that the Selector chooses of
// the region's instances, or those of all other regions if it has none.
func (d *Directory) addresses(view *catalog.View, region string) []string {
	instances := candidates(view, region)
	if d.Selector != nil && len(instances) > 0 {
		instances = d.selectInstances(view, region, instances)
	}
	instances = instances[:min(maxAddresses, len(instances))]
	out := make([]string, 0, len(instances))
	for _, m := range instances {
		out = append(out, m.CallerAddress)
	}
	return out
}

// selectInstances returns the instances of a region that the Selector chooses, or all if they are of other regions.
func (d *Directory) selectInstances(view *catalog.View, region string, instances []*lovageyard.EntryInstance) []*lovageyard.EntryInstance {
	if instances[0].Region != region {
		d.Metrics.Count(meter.LookUps, selectionAll)
		return instances
	}
	selection := d.Selector.Select(lookup.Fleet{
		Region:      region,
		Instances:   instances,
		LargeBodies: view.Snapshot != nil && view.Configuration != nil && view.Configuration.HasLargeBodies(),
		Utilisation: d.Utilisation.Utilisation(),
	}, d.Timer.Now())
	d.report(region, selection, len(instances))
	return selection.Instances
}

// report logs a change of a region's selection and updates the metrics.
func (d *Directory) report(region string, s lookup.Selection, candidates int) {
	if !s.Decided {
		d.Metrics.Count(meter.LookUps, selectionAll)
		return
	}
	name, message := selectionAll, "look-ups return all instances of the region"
	if s.Narrowed {
		name, message = selectionHighBandwidth, "look-ups return the high-bandwidth instances of the region"
	}
	d.Metrics.Count(meter.LookUps, name)
	d.Metrics.Update(meter.RegionUtilisation, int64(1000*s.Utilisation), region)
	if s.Changed {
		d.Logger.WithFields(logrus.Fields{
			"region":      region,
			"utilisation": s.Utilisation,
			"returned":    len(s.Instances),
			"candidates":  candidates,
		}).Info(message)
	}
}

// candidates returns the instances that a client of a region may connect to. It prefers the region's instances that
// are not stale, then the region's other instances, then those of other regions.
func candidates(view *catalog.View, region string) []*lovageyard.EntryInstance {
	var own, stale, others []*lovageyard.EntryInstance
	for i := range view.Live {
		m := &view.Live[i]
		switch {
		case m.State != lovageyard.StateLive:
		case m.Region != region:
			others = append(others, m)
		case m.Stale:
			stale = append(stale, m)
		default:
			own = append(own, m)
		}
	}
	if len(own) == 0 {
		own = stale
	}
	if len(own) == 0 {
		own = others
	}
	return own
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
