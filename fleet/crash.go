package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/quarantine"
)

// Word of servers that ended under requests passes between instances in two ways: who learns of one
// tells a few peers at once, who do the same; and each exchange compares what is known, which
// reaches instances that were away. A request that ends servers comes again at any instance
// within a second.

const (
	// crashFanOut is how many random peers are told at once: 1,400 instances know after six steps.
	crashFanOut = 4
	// crashReportInterval is the pause between two times that peers are told, in which further news gathers.
	crashReportInterval = 100 * time.Millisecond
	// digestInterval is how often what is known is compared while news comes; at other times each
	// second. All that is known crosses if it differs, as it does while news is on its way.
	digestInterval = 3 * time.Second
	quietPeriod    = time.Second
)

// Quarantine remembers which requests were at servers that ended.
type Quarantine interface {
	// Updates delivers when there is something to tell.
	Updates() <-chan struct{}
	// Merge takes in what a peer tells, and says whether any of it was news.
	Merge(r quarantine.Report) bool
	// Report returns all that others should know, and ReportSince what is new since a moment.
	Report() quarantine.Report
	ReportSince(since time.Time) quarantine.Report
	// Digest returns a number that is the same for instances that know the same.
	Digest() uint64
	// Tick forgets what is too old to count.
	Tick(now time.Time)
	// Evaluate returns what is thought of a request.
	Evaluate(request uint64) quarantine.Decision
	// NewlyQuarantined returns the requests that are held since the last call by what this instance saw itself.
	NewlyQuarantined() []uint64
	// ReportFor returns the crashes under one request.
	ReportFor(request uint64) quarantine.Report
}

// reportCrashes tells a few random peers what is new since the last time. News that comes soon after that
// is told together: each request that fell with a server is news of its own.
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

// crashReportPause is the name of the pause between two times that peers are told.
const crashReportPause = "tell"

// crashReportDue is the end of that pause.
type crashReportDue struct{}

func (crashReportDue) Apply(c *Control) {
	if c.crashReportPending {
		c.reportCrashes()
	}
}

// addDigest asks a peer for all that it knows of crashes if that differs.
func (c *Control) addDigest(r *wire.ShareRequest) {
	now := c.settings.Timer.Now()
	if now.Sub(c.crashesReportedAt) < quietPeriod && now.Sub(c.digestSentAt) < digestInterval {
		return
	}
	c.digestSentAt = now
	r.CrashDigest = proto.Uint64(c.settings.Quarantine.Digest())
}

// applyCrashes takes in what a peer tells of crashes, and passes on what is new.
func (c *Control) applyCrashes(crashes []*wire.Crash, clearances []*wire.Clearance) {
	if len(crashes)+len(clearances) == 0 {
		return
	}
	if c.settings.Quarantine.Merge(fromCrashes(crashes, clearances)) {
		c.reportCrashes()
	}
}

// addCrashes adds to an answer what its asker may lack.
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

// toAge returns an age of a message, which can't be below 0.
func toAge(milliseconds int64) time.Duration {
	return max(0, time.Duration(milliseconds)*time.Millisecond)
}
