package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/quarantine"
)

// A crash report lists servers that crashed, with the requests that were in flight there, and clearances:
// requests that a server has answered since. Reports spread in two ways. An instance that receives a new
// report sends it immediately to a few random peers, which do the same. In addition, regular exchanges
// compare digests, so that instances that were unreachable get the reports later. Reports have to be fast:
// a request that crashes servers is retried, at any instance, within a second.

const (
	// crashFanOut is the number of random peers that a new report is sent to: 1,400 instances have it
	// after six hops.
	crashFanOut = 4
	// crashReportInterval is the minimum interval between two reports; further crashes are batched.
	crashReportInterval = 100 * time.Millisecond
	// digestInterval is the minimum interval between digests within spreadPeriod after a report; at other
	// times a digest is sent each second. If digests differ, as they do while a report is spreading, all
	// crashes are sent.
	digestInterval = 3 * time.Second
	spreadPeriod   = time.Second
)

// Quarantine records which requests were in flight at servers that crashed; see quarantine.Monitor.
type Quarantine interface {
	// Updates returns a channel that receives a value when there is something new to report to peers.
	Updates() <-chan struct{}
	// Merge applies a peer's report and reports whether any of it was new.
	Merge(r quarantine.Report) bool
	// Report returns all crashes and clearances, and ReportSince those recorded or merged since a time.
	Report() quarantine.Report
	ReportSince(since time.Time) quarantine.Report
	// Digest returns a hash of the report; it is equal for instances with the same reports.
	Digest() uint64
	// Tick removes crashes and clearances that have expired.
	Tick(now time.Time)
	// Evaluate returns the decision on a request, given by its fingerprint.
	Evaluate(request uint64) quarantine.Decision
	// NewlyQuarantined returns the requests that were quarantined since the last call because of crashes
	// that this instance observed itself.
	NewlyQuarantined() []uint64
	// ReportFor returns the crashes at which one request was in flight.
	ReportFor(request uint64) quarantine.Report
}

// reportCrashes sends a few random peers the crashes and clearances that are new since the last report.
// Those that follow within crashReportInterval are batched, as each request that was lost with a server is
// a separate update.
func (c *Control) reportCrashes() {
	if c.inbox.IsCalling(crashReportPause) {
		c.crashReportPending = true
		return
	}
	c.crashReportPending = false
	now := c.settings.Timer.Now()
	report := c.settings.Quarantine.ReportSince(c.crashesReportedAt)
	c.crashesReportedAt = now
	if report.IsEmpty() {
		return
	}
	partners := c.partners()
	for _, p := range partners[:min(crashFanOut, len(partners))] {
		request := c.newRequest()
		request.Crashes, request.Clearances = toCrashes(report)
		c.exchange("tell "+p.address, p.address, request)
	}
	c.inbox.Call(crashReportPause, func(context.Context) message {
		c.sleep(crashReportInterval)
		return crashReportDue{}
	})
}

// crashReportPause is the name of the call that waits for crashReportInterval after a report.
const crashReportPause = "tell"

// crashReportDue is the message that ends this pause.
type crashReportDue struct{}

func (crashReportDue) Apply(c *Control) {
	if c.crashReportPending {
		c.reportCrashes()
	}
}

// addDigest adds the digest to a request, so that a peer with a different one replies with its crashes.
func (c *Control) addDigest(r *wire.ShareRequest) {
	now := c.settings.Timer.Now()
	if now.Sub(c.crashesReportedAt) < spreadPeriod && now.Sub(c.digestSentAt) < digestInterval {
		return
	}
	c.digestSentAt = now
	r.CrashDigest = proto.Uint64(c.settings.Quarantine.Digest())
}

// applyCrashes applies a peer's crash report, and sends it on if any of it is new.
func (c *Control) applyCrashes(crashes []*wire.Crash, clearances []*wire.Clearance) {
	if len(crashes)+len(clearances) == 0 {
		return
	}
	if c.settings.Quarantine.Merge(fromCrashes(crashes, clearances)) {
		c.reportCrashes()
	}
}

// addCrashes adds all crashes to a reply if the caller's digest differs.
func (c *Control) addCrashes(r *wire.ShareRequest, reply *wire.ShareReply) {
	if r.CrashDigest != nil && r.GetCrashDigest() != c.settings.Quarantine.Digest() {
		reply.Crashes, reply.Clearances = toCrashes(c.settings.Quarantine.Report())
	}
}

func toCrashes(r quarantine.Report) ([]*wire.Crash, []*wire.Clearance) {
	var crashes []*wire.Crash
	for _, crash := range r.Crashes {
		crashes = append(crashes, &wire.Crash{
			Server: crash.Server.Name, Life: crash.Server.Incarnation, Losses: toLosses(crash.Losses), AgeMs: crash.Age.Milliseconds(),
		})
	}
	var clearances []*wire.Clearance
	for _, clearance := range r.Clearances {
		clearances = append(clearances, &wire.Clearance{Request: clearance.Request, AgeMs: clearance.Age.Milliseconds()})
	}
	return crashes, clearances
}

func fromCrashes(crashes []*wire.Crash, clearances []*wire.Clearance) quarantine.Report {
	var r quarantine.Report
	for _, crash := range crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Server: quarantine.Server{Name: crash.GetServer(), Incarnation: crash.GetLife()},
			Losses: fromLosses(crash.GetLosses()),
			Age:    toAge(crash.GetAgeMs()),
		})
	}
	for _, clearance := range clearances {
		r.Clearances = append(r.Clearances, quarantine.Clearance{
			Request: clearance.GetRequest(),
			Age:     toAge(clearance.GetAgeMs()),
		})
	}
	return r
}

func toLosses(losses []quarantine.Loss) []*wire.Loss {
	var out []*wire.Loss
	for _, l := range losses {
		out = append(out, &wire.Loss{Request: l.Request, SentAgeMs: l.SentAge.Milliseconds()})
	}
	return out
}

func fromLosses(losses []*wire.Loss) []quarantine.Loss {
	var out []quarantine.Loss
	for _, l := range losses {
		out = append(out, quarantine.Loss{Request: l.GetRequest(), SentAge: toAge(l.GetSentAgeMs())})
	}
	return out
}

// toAge returns the age in a message; negative values become 0.
func toAge(milliseconds int64) time.Duration {
	return max(0, time.Duration(milliseconds)*time.Millisecond)
}
