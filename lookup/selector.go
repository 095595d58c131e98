package lookup

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"lovageyard.example/lovageyard"
)

// The thresholds are for periodic load whose peak is 3.4 times its trough (a variation of 55%), so that an
// instance that is half utilised on average passes both of them in each period.
const (
	// highBandwidthShare is the share of the highest link bandwidth of a region from which an instance counts as
	// one of high bandwidth.
	highBandwidthShare = 0.25
	// maxUtilisation is the mean utilisation from which the instances of high bandwidth do not suffice. Above
	// it, queueing for the processor delays requests noticeably, and bursts have no room.
	maxUtilisation = 0.6
	// narrowUtilisation is the mean utilisation below which they suffice again, if it stays there for narrowDelay.
	narrowUtilisation = 0.35
	narrowDelay       = 5 * time.Second
	// minInstances and minFailureDomains are the minimum numbers of instances and of their failure domains, so that
	// clients have others to connect to when an instance or a failure domain is lost.
	minInstances      = 3
	minFailureDomains = 2
)

// Fleet is what a selection is based on.
type Fleet struct {
	// Region is the region of the instances.
	Region string
	// Instances are the candidates of the region, in the order in which they are returned.
	Instances []*lovageyard.EntryInstance
	// LargeBodies means that the configuration has routes with large bodies.
	LargeBodies bool
	// Utilisation holds the last reported utilisation of instances, by name.
	Utilisation map[string]float64
}

// Selection is the result of a selection.
type Selection struct {
	// Instances are the instances to return. The caller must not change the list.
	Instances []*lovageyard.EntryInstance
	// Decided means that the region has instances that may be left out; the fields below are valid only then.
	Decided bool
	// Narrowed means that low-bandwidth instances are left out, although they may make up the minimum number.
	Narrowed bool
	// Changed means that Narrowed is not what it was at the region's last selection.
	Changed bool
	// Utilisation is the mean utilisation by which the decision was made.
	Utilisation float64
}

// Selector decides whether a region's low-bandwidth instances are returned, with hysteresis. It is safe for
// concurrent use.
type Selector struct {
	mu      sync.Mutex
	regions map[string]*regionState
}

// regionState is the state of the decision for one region.
type regionState struct {
	// wide is set while the low-bandwidth instances are returned as well.
	wide bool
	// idleSince is since when the utilisation has been low enough to leave them out again, or zero.
	idleSince time.Time
	// narrowed is the last result.
	narrowed bool
}

// NewSelector returns a Selector that leaves out low-bandwidth instances until utilisation is reported.
func NewSelector() *Selector {
	return &Selector{regions: make(map[string]*regionState)}
}

// Select returns the instances for a client of the region. They are all instances unless there are large bodies
// and the bandwidth of each link is known.
func (s *Selector) Select(f Fleet, now time.Time) Selection {
	all := Selection{Instances: f.Instances}
	if !f.LargeBodies || len(f.Instances) == 0 {
		return all
	}
	preferred := preferredInstances(f.Instances)
	if len(preferred) == len(f.Instances) {
		// The region's state is kept: low-bandwidth instances may be missing only for a moment.
		return all
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.regions[f.Region]
	if state == nil {
		state = &regionState{narrowed: true}
		s.regions[f.Region] = state
	}
	utilisation := meanUtilisation(preferred, f.Utilisation)
	state.update(utilisation, float64(len(f.Instances))/float64(len(preferred)), now)
	selection := Selection{
		Instances:   preferred,
		Decided:     true,
		Narrowed:    !state.wide,
		Changed:     state.narrowed == state.wide,
		Utilisation: utilisation,
	}
	if state.wide {
		selection.Instances = f.Instances
	}
	state.narrowed = selection.Narrowed
	return selection
}

// update applies the mean utilisation of the preferred instances. While all instances are returned, each of them
// gets the same number of clients, so that the preferred ones alone would have spread times the utilisation. That
// is compared with the lower threshold: the utilisation itself falls as soon as all are returned, and the
// selection would alternate under constant load.
func (r *regionState) update(utilisation, spread float64, now time.Time) {
	if !r.wide {
		r.wide = utilisation >= maxUtilisation
		r.idleSince = time.Time{}
		return
	}
	if utilisation*spread >= narrowUtilisation {
		r.idleSince = time.Time{}
		return
	}
	if r.idleSince.IsZero() {
		r.idleSince = now
	}
	r.wide = now.Sub(r.idleSince) < narrowDelay
}

// preferredInstances returns the instances of high bandwidth, made up to the minimum numbers by others, in the given
// order. If the bandwidth of a link is not known, it returns all instances.
func preferredInstances(instances []*lovageyard.EntryInstance) []*lovageyard.EntryInstance {
	highest := 0.0
	for _, i := range instances {
		if i.LinkMbps <= 0 {
			return instances
		}
		highest = max(highest, i.LinkMbps)
	}
	var selected, others []*lovageyard.EntryInstance
	for _, i := range instances {
		if i.LinkMbps >= highBandwidthShare*highest {
			selected = append(selected, i)
		} else {
			others = append(others, i)
		}
	}
	if len(selected) >= minInstances && len(domainsOf(selected)) >= minFailureDomains {
		return selected
	}
	selected = makeUp(selected, others)
	return slices.DeleteFunc(slices.Clone(instances), func(i *lovageyard.EntryInstance) bool { return !slices.Contains(selected, i) })
}

// makeUp adds other instances to the selected ones until the minimum numbers are reached. All instances that answer
// look-ups add the same ones.
func makeUp(selected, others []*lovageyard.EntryInstance) []*lovageyard.EntryInstance {
	slices.SortFunc(others, byBandwidth)
	for _, i := range others {
		if domains := domainsOf(selected); len(domains) < minFailureDomains && !slices.Contains(domains, i.FailureDomain) {
			selected = append(selected, i)
		}
	}
	for _, i := range others {
		if len(selected) < minInstances && !slices.Contains(selected, i) {
			selected = append(selected, i)
		}
	}
	return selected
}

// domainsOf returns the failure domains of instances.
func domainsOf(instances []*lovageyard.EntryInstance) []string {
	var domains []string
	for _, i := range instances {
		if !slices.Contains(domains, i.FailureDomain) {
			domains = append(domains, i.FailureDomain)
		}
	}
	return domains
}

// byBandwidth orders instances by descending bandwidth, then by name.
func byBandwidth(a, b *lovageyard.EntryInstance) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), strings.Compare(a.Name, b.Name))
}

// meanUtilisation returns the mean of the reported utilisations of instances, or 0 if there is none. Instances
// without a report are not counted: they may run a version that reports none.
func meanUtilisation(instances []*lovageyard.EntryInstance, reported map[string]float64) float64 {
	sum, count := 0.0, 0
	for _, i := range instances {
		if u, found := reported[i.Name]; found {
			sum += u
			count++
		}
	}
	return sum / float64(max(1, count))
}
