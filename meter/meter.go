package meter

import (
	"fmt"
	"io"
	"strings"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

// Kind is the type of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name string
	Kind Kind
	// Labels names the labels, whose values follow the metric's name, separated by dots.
	Labels []string
	// Help describes the metric and its unit, for the reference page.
	Help string
}

// The metrics of an entry instance.
var (
	Answers              = Metric{"answers", Counter, []string{"service", "status"}, "answers to callers; the service is none if no route matched"}
	Refusals             = Metric{"refusals", Counter, []string{"service", "cause"}, "requests refused as not run"}
	RequestsAhead        = Metric{"requests-ahead", Counter, nil, "pipelined requests passed on before those ahead of them on their connection were answered"}
	SlowBodies           = Metric{"slow-bodies", Counter, []string{"direction"}, "transfers of bodies that were ended as the client was slower than the minimum rate, by direction: sent or read"}
	MemoryBudget         = Metric{"memory-budget", Gauge, nil, "bytes that may be held for requests and responses, 0 if there is no limit"}
	MemoryHeld           = Metric{"memory-held", Gauge, nil, "bytes held for requests and responses"}
	MemoryHeldLarge      = Metric{"memory-held-large", Gauge, nil, "bytes among these held for requests of more than 16 KB"}
	MemoryWaiting        = Metric{"memory-waiting", Gauge, nil, "answers of servers that wait to be read until memory is free"}
	RankRefusals         = Metric{"refusals-by-rank", Counter, []string{"service", "rank"}, "requests for which no server was selected, by the rank of the account, or of the route if there is none"}
	ShareRefusals        = Metric{"refusals-beyond-share", Counter, []string{"service"}, "requests among these whose accounts get more than their fair share of the service"}
	SlotWaits            = Metric{"slot-waits", Counter, []string{"service"}, "times that a request with a large body waited at this instance for a slot that is kept for more urgent ones"}
	Overloaded           = Metric{"overloaded", Gauge, []string{"service"}, "1 while the queues of most servers of the service stand, so that requests are refused in the order of rank, account and object"}
	Latency              = Metric{"latency", Histogram, []string{"service"}, "milliseconds from a request's arrival to a server's answer"}
	ExpectedWait         = Metric{"expected-wait", Histogram, []string{"service"}, "milliseconds that a request was expected to wait for a slot as it was sent"}
	Sends                = Metric{"sends", Counter, []string{"service", "failure-domain"}, "attempts sent to servers"}
	Placements           = Metric{"placements", Counter, []string{"region", "rule"}, "attempts sent to servers, by the servers' region and the rule that selected them: home, second-home, alternate, least-cost or retry"}
	RegionShare          = Metric{"region-share", Gauge, []string{"region"}, "thousandths of this instance's attempts that were sent to the region in its last window with attempts"}
	RegionShareChange    = Metric{"region-share-change", Gauge, nil, "thousandths of this instance's attempts that were sent to another region than in the window before"}
	Retries              = Metric{"repeats", Counter, []string{"service"}, "attempts after the first of a request"}
	RetriesDenied        = Metric{"repeats-denied", Counter, []string{"service"}, "repeats that the shared budget did not allow"}
	ColdSends            = Metric{"cold-sends", Counter, []string{"service"}, "attempts sent to servers that are cold"}
	SecondHomeShare      = Metric{"second-home-share", Gauge, []string{"service"}, "thousandths of the service's objects that have a second home, as its servers are on shared machines"}
	ServersSlow          = Metric{"servers-slow", Gauge, nil, "backend servers whose machine is slowed down by other workloads, by their latest reports"}
	ShareElsewhere       = Metric{"share-elsewhere", Gauge, []string{"service"}, "thousandths of the region's requests that run in other regions"}
	InFlight             = Metric{"requests-in-flight", Gauge, nil, "attempts at servers"}
	ServersKnown         = Metric{"servers-known", Gauge, nil, "backend servers that are registered"}
	ServersSuspect       = Metric{"servers-suspect", Gauge, nil, "backend servers that are left alone as they did not answer"}
	ServersLimited       = Metric{"servers-limited", Gauge, nil, "backend servers that name a limit to the requests that they take"}
	ServersLeaving       = Metric{"servers-leaving", Gauge, nil, "backend servers that have said in answers that they leave"}
	ServersBackingOff    = Metric{"servers-backing-off", Gauge, nil, "backend servers that want nothing from this instance for now"}
	ServersCrashed       = Metric{"servers-ended", Counter, []string{"service"}, "backend servers seen to end while they had requests"}
	RequestsQuarantined  = Metric{"requests-held", Gauge, nil, "requests that are refused as servers end under them"}
	ConnectionsOpened    = Metric{"connections-opened", Gauge, nil, "connections to servers opened since the start"}
	PathLost             = Metric{"path-lost", Gauge, nil, "1 while no backend server can be reached from this instance, so that requests are sent through others"}
	AnswersSkipped       = Metric{"answers-skipped", Counter, []string{"service"}, "answers of servers to earlier requests that came before the answer to an attempt"}
	PromisesIgnored      = Metric{"promises-ignored", Counter, []string{"service"}, "answers of servers with a status that promises not run, which do not state it otherwise"}
	Detours              = Metric{"detours", Counter, []string{"outcome"}, "attempts at servers through other instances: answered, failed, or unavailable if the instance could not make them"}
	ConfigurationVersion = Metric{"configuration-version", Gauge, nil, "version of the configuration in force"}
	ConfigurationAge     = Metric{"configuration-age", Gauge, nil, "milliseconds since the configuration came into force"}
	ConfirmationAge      = Metric{"knowledge-age", Gauge, nil, "milliseconds since the configuration in force was known to be the newest, -1 if it never was"}
	ContactAge           = Metric{"contact-age", Gauge, nil, "milliseconds since all changes on the platform were known to have been read, by this instance or one that it follows, -1 if they never were"}
	LimitReports         = Metric{"limit-reports", Counter, []string{"outcome"}, "reports on accounts' limits to the instances that own them, by outcome: ok or failed"}
	AccountsNearLimit    = Metric{"limits-tight", Gauge, nil, "client accounts that are near their limits, by the word of the instances that own their limits"}
	InstancesLive        = Metric{"instances-live", Gauge, nil, "entry instances that are believed to take work"}
	Utilisation          = Metric{"utilisation", Gauge, nil, "thousandths of the processor quota or of the link's bandwidth that this instance uses, whichever is more, averaged over 3 s; -1 if neither is known"}
	LookUps              = Metric{"look-ups", Counter, []string{"selection"}, "look-ups that were answered with all candidates (all), or with the region's high-bandwidth instances (high-bandwidth)"}
	RegionUtilisation    = Metric{"region-utilisation", Gauge, []string{"region"}, "thousandths of their capacity that a region's high-bandwidth instances use on average, by which low-bandwidth ones are left out of look-ups"}
	ChangeAge            = Metric{"change-age", Histogram, []string{"table"}, "milliseconds from the moment when the first instance heard of a change from the platform to its being in force here"}
	PlatformReads        = Metric{"platform-reads", Counter, []string{"table"}, "calls that read the platform"}
	PlatformFailures     = Metric{"platform-failures", Counter, []string{"table", "cause"}, "calls that failed, by timeout or for other reasons, lost history left out"}
	HistoryLost          = Metric{"platform-history-lost", Counter, []string{"table"}, "watches that the platform refused, as it no longer or not yet has the version after which they ask"}
	OutdatedReads        = Metric{"platform-reads-outdated", Counter, []string{"table"}, "reads of the platform that were ignored, as they are older than the rows in use"}
	PlatformRestores     = Metric{"platform-restores", Counter, []string{"table"}, "times that the platform's store was seen to have been restored from an older copy"}
	RowsSkipped          = Metric{"rows-passed-over", Counter, []string{"table", "field"}, "rows of the platform that are not understood, by the field that is wrong; a row of a server then names none"}
	PlatformWrites       = Metric{"platform-writes", Counter, nil, "transactions on instances' rows"}
	PeerExchanges        = Metric{"peer-exchanges", Counter, nil, "exchanges with other instances that were answered"}
	PeerFailures         = Metric{"peer-failures", Counter, []string{"cause"}, "exchanges with other instances that failed, by timeout or for other reasons"}
	PeerRows             = Metric{"peer-rows", Counter, []string{"table"}, "rows of the platform heard from other instances"}
	PeerRowsKnown        = Metric{"peer-rows-known", Counter, []string{"table"}, "rows among these that were known already"}
	PeerBytes            = Metric{"peer-bytes", Counter, []string{"table"}, "bytes of these rows as they were sent"}
	LogDroppedRoutine    = Metric{"log-dropped-routine", Gauge, nil, "log lines on requests that went well, dropped since the start"}
	LogDroppedOther      = Metric{"log-dropped-other", Gauge, nil, "other log lines dropped since the start"}
)

// All returns all metrics in the order of the reference page.
func All() []Metric {
	return []Metric{
		Answers, Refusals, RankRefusals, ShareRefusals, SlotWaits, Overloaded, RequestsAhead, SlowBodies, MemoryBudget, MemoryHeld, MemoryHeldLarge, MemoryWaiting, Latency, ExpectedWait, Sends, Placements, RegionShare, RegionShareChange, Retries, RetriesDenied, ColdSends, ShareElsewhere, SecondHomeShare, ServersSlow, InFlight,
		ServersKnown, ServersSuspect, ServersLimited, ServersLeaving, ServersBackingOff, ServersCrashed, RequestsQuarantined, ConnectionsOpened, PathLost, Detours, AnswersSkipped, PromisesIgnored, ConfigurationVersion, ConfigurationAge, ConfirmationAge, ContactAge,
		LimitReports, AccountsNearLimit, InstancesLive, Utilisation, LookUps, RegionUtilisation,
		ChangeAge, PlatformReads, PlatformFailures, HistoryLost, OutdatedReads, PlatformRestores, RowsSkipped, PlatformWrites, PeerExchanges, PeerFailures,
		PeerRows, PeerRowsKnown, PeerBytes,
		LogDroppedRoutine, LogDroppedOther,
	}
}

const (
	// maxSeries limits the number of label combinations of one metric. A large configuration has
	// some tens of services, each with a dozen statuses or failure domains.
	maxSeries = 500
	// otherSeries replaces the labels of all further combinations.
	otherSeries = "others"
	// Size and decay factor of the sample of a histogram, as recommended by go-metrics.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Set holds the values of all metrics. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	mu sync.Mutex
	// series holds the known label combinations of each metric.
	series map[string]map[string]bool
}

// NewSet returns an empty set; a value exists from its first update on.
func NewSet() *Set {
	return &Set{registry: metrics.NewRegistry(), series: make(map[string]map[string]bool)}
}

// Count increments a counter by one.
func (s *Set) Count(m Metric, labels ...string) {
	metrics.GetOrRegisterCounter(s.seriesName(m, labels), s.registry).Inc(1)
}

// Add increments a counter by n.
func (s *Set) Add(m Metric, n int, labels ...string) {
	metrics.GetOrRegisterCounter(s.seriesName(m, labels), s.registry).Inc(int64(n))
}

// Update sets the value of a gauge.
func (s *Set) Update(m Metric, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(s.seriesName(m, labels), s.registry).Update(value)
}

// Observe adds a value to the sample of a histogram.
func (s *Set) Observe(m Metric, value int64, labels ...string) {
	name := s.seriesName(m, labels)
	known := s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	if histogram, ok := known.(metrics.Histogram); ok {
		histogram.Update(value)
	}
}

// seriesName returns the registry's name for a label combination. Beyond maxSeries combinations of
// a metric it returns one common name.
func (s *Set) seriesName(m Metric, labels []string) string {
	if len(labels) == 0 {
		return m.Name
	}
	joined := strings.Join(labels, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.series[m.Name]
	if known == nil {
		known = make(map[string]bool)
		s.series[m.Name] = known
	}
	if !known[joined] {
		if len(known) >= maxSeries {
			joined = otherSeries
		}
		known[joined] = true
	}
	return m.Name + "." + joined
}

// Write writes all values to w in the text format of go-metrics.
func (s *Set) Write(w io.Writer) {
	metrics.WriteOnce(s.registry, w)
}

// Page returns the reference page of the metrics in Markdown, which is docs/METRICS.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Metrics\n\nMade by `scripts/metrics` from the package `meter`. Text at the metrics address, path `/metrics`.\n")
	fmt.Fprintf(&page, "A metric has at most %d values; further labels count as `%s`.\n\n", maxSeries, otherSeries)
	page.WriteString("| name | kind | counts |\n|---|---|---|\n")
	for _, m := range All() {
		name := m.Name
		for _, label := range m.Labels {
			name += "." + strings.ToUpper(label)
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", name, m.Kind, m.Help)
	}
	return page.String()
}
