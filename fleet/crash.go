package fleet

import (
	"context"
	"strconv"
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
	// tellFanOut is how many random peers are told at once: 1,400 instances know after six steps.
	tellFanOut = 4
	// freshFor is how long news is sent along with exchanges.
	freshFor = 3 * time.Second
)

// Quarantine remembers which requests were at servers that ended.
type Quarantine interface {
	// News delivers when there is something to tell.
	News() <-chan struct{}
	// Merge takes in what a peer tells, and says whether any of it was news.
	Merge(r quarantine.Report) bool
	// Report returns all that others should know, and ReportSince what is new since a moment.
	Report() quarantine.Report
	ReportSince(since time.Time) quarantine.Report
	// Digest returns a number that is the same for instances that know the same.
	Digest() uint64
	// Tick forgets what is too old to count.
	Tick(now time.Time)
	// Judge returns what is thought of a request.
	Judge(request uint64) quarantine.Judgement
	// Found returns the requests that are held since the last call by what this instance saw itself.
	Found() []uint64
	// ReportOf returns the crashes under one request.
	ReportOf(request uint64) quarantine.Report
}

// tellCrashes tells a few random peers what is new.
func (c *Control) tellCrashes() {
	partners := c.partners()
	c.untold = false
	for n, p := range partners[:min(tellFanOut, len(partners))] {
		name := "tell " + strconv.Itoa(n)
		if c.inbox.IsCalling(name) {
			// What is new now is told when the call ends.
			c.untold = true
			continue
		}
		request := c.newRequest()
		c.addNews(request)
		c.inbox.Call(name, func(ctx context.Context) message {
			reply, err := c.settings.Peers.Share(ctx, p.address, request)
			return told{shared{address: p.address, reply: reply, err: err}}
		})
	}
}

// told is the end of a call that told a peer of crashes.
type told struct {
	shared
}

func (m told) Apply(c *Control) {
	m.shared.Apply(c)
	if c.untold {
		c.tellCrashes()
	}
}

// addNews adds what is new of crashes to a request.
func (c *Control) addNews(r *wire.ShareRequest) {
	report := c.settings.Quarantine.ReportSince(c.settings.Timer.Now().Add(-freshFor))
	r.Crashes, r.Clearances = toCrashes(report)
}

// addDigest asks a peer for all that it knows of crashes if that differs.
func (c *Control) addDigest(r *wire.ShareRequest) {
	r.CrashDigest = proto.Uint64(c.settings.Quarantine.Digest())
}

// hearCrashes takes in what a peer tells of crashes, and passes on what is new.
func (c *Control) hearCrashes(crashes []*wire.Crash, clearances []*wire.Clearance) {
	if len(crashes)+len(clearances) == 0 {
		return
	}
	if c.settings.Quarantine.Merge(fromCrashes(crashes, clearances)) {
		c.tellCrashes()
	}
}

// answerCrashes adds to an answer what its asker may lack.
func (c *Control) answerCrashes(r *wire.ShareRequest, reply *wire.ShareReply) {
	if r.CrashDigest != nil && r.GetCrashDigest() != c.settings.Quarantine.Digest() {
		reply.Crashes, reply.Clearances = toCrashes(c.settings.Quarantine.Report())
	}
}

func toCrashes(r quarantine.Report) ([]*wire.Crash, []*wire.Clearance) {
	var crashes []*wire.Crash
	for _, crash := range r.Crashes {
		crashes = append(crashes, &wire.Crash{
			Server: crash.Server.Name, Life: crash.Server.Life, Losses: toLosses(crash.Losses), AgeMs: crash.Age.Milliseconds(),
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
			Server: quarantine.Server{Name: crash.GetServer(), Life: crash.GetLife()},
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
