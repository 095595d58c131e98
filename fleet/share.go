package fleet

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
)

// Limits of the exchange between instances.
const (
	// regionFanOut and globalFanOut are the numbers of random peers, of the own region and of all
	// regions, with which an instance exchanges each tick.
	regionFanOut = 2
	globalFanOut = 1
	// maxPulses is the maximum number of heartbeats in one message.
	maxPulses = 24
	// maxTableRequests is the number of peers from which whole tables are requested at a time, as one of
	// them may not answer.
	maxTableRequests = 2
	// maxLeaveNotifications is the maximum number of peers that a leaving instance notifies directly.
	maxLeaveNotifications = 16
)

// partner is a peer to exchange with.
type partner struct {
	address string
	// region is "" for a peer of which only the address is known.
	region string
}

// gossip exchanges with a few random peers, some of them in the own region.
func (c *Control) gossip() {
	partners := c.partners()
	sameRegion := slices.DeleteFunc(slices.Clone(partners), func(p partner) bool { return p.region != c.self.Region })
	c.exchangeWithDigest(partners[:min(globalFanOut, len(partners))])
	c.exchangeWithAll(sameRegion[:min(regionFanOut, len(sameRegion))])
}

// exchangeWithDigest exchanges with peers and adds the digest of the crash reports, if one is due.
func (c *Control) exchangeWithDigest(partners []partner) {
	for _, p := range partners {
		request := c.gossipRequest()
		c.addDigest(request)
		c.exchange("share "+p.address, p.address, request)
	}
}

// notifyPeers exchanges with up to maxLeaveNotifications random peers.
func (c *Control) notifyPeers() {
	partners := c.partners()
	c.exchangeWithAll(partners[:min(maxLeaveNotifications, len(partners))])
}

func (c *Control) exchangeWithAll(partners []partner) {
	for _, p := range partners {
		c.exchangeWith(p)
	}
}

// partners returns all other instances that may be running, in random order.
func (c *Control) partners() []partner {
	regions := make(map[string]string)
	for _, m := range c.members.Observed() {
		regions[m.PeerAddress] = m.Region
	}
	for _, m := range c.state.Instances() {
		if _, known := c.members.Find(m.Name); !known {
			regions[m.PeerAddress] = m.Region
		}
	}
	if len(regions) <= 1 {
		for _, address := range c.seeds {
			regions[address] = ""
		}
	}
	delete(regions, c.self.PeerAddress)
	var partners []partner
	for address, region := range regions {
		partners = append(partners, partner{address: address, region: region})
	}
	// Sorting first makes the shuffle reproducible for a given seed.
	slices.SortFunc(partners, func(a, b partner) int { return strings.Compare(a.address, b.address) })
	c.random.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	return partners
}

func (c *Control) exchangeWith(p partner) {
	c.exchange("share "+p.address, p.address, c.gossipRequest())
}

// newRequest returns a request with this instance's description and the newest encoding that it reads.
func (c *Control) newRequest() *wire.ShareRequest {
	return &wire.ShareRequest{
		From: peer.FromMember(c.self), Reads: peer.NewestEncoding, Eras: true, Configuration: c.state.ConfigurationVersion(),
	}
}

// gossipRequest returns a request with heartbeats of other instances and, once all tables have been read,
// cursors; until then, tables are requested from a few peers at a time (see requestTables).
func (c *Control) gossipRequest() *wire.ShareRequest {
	request := c.newRequest()
	request.Pulses = c.pulses()
	if c.hasAllTables() {
		request.Cursors = c.cursors()
	}
	return request
}

// requestTables requests whole tables from a few random peers, at most once per tableRequestInterval.
func (c *Control) requestTables(now time.Time) {
	if !c.tablesRequestedAt.IsZero() && now.Sub(c.tablesRequestedAt) < tableRequestInterval {
		return
	}
	c.tablesRequestedAt = now
	partners := c.partners()
	for n, p := range partners[:min(maxTableRequests, len(partners))] {
		request := c.newRequest()
		request.Pulses, request.Cursors = c.pulses(), c.cursors()
		c.exchange("ask for rows "+strconv.Itoa(n), p.address, request)
	}
}

// exchange calls a peer and posts the result, unless a call with the same name is running.
func (c *Control) exchange(name, address string, request *wire.ShareRequest) {
	c.inbox.Call(name, func(ctx context.Context) message {
		requestedAt := c.settings.Timer.Elapsed()
		reply, err := c.settings.Peers.Share(ctx, address, request)
		return exchangeResult{address: address, reply: reply, err: err, requestedAt: requestedAt}
	})
}

// hasAllTables reports whether all followed tables have been read from the platform or a peer.
func (c *Control) hasAllTables() bool {
	for _, table := range lovageyard.FollowedTables() {
		if c.state.Cursor(table).IsZero() {
			return false
		}
	}
	return true
}

// pulses returns heartbeats of other instances to send to a peer.
func (c *Control) pulses() []*wire.Pulse {
	var out []*wire.Pulse
	for _, m := range c.members.GossipForRegion(c.self.Region, maxPulses, c.settings.Timer.Now()) {
		out = append(out, &wire.Pulse{
			Instance:  m.Name,
			Life:      m.Incarnation,
			Heartbeat: m.Heartbeat,
			Leaving:   m.State != lovageyard.StateLive,
			Behind:    m.Stale,
			AgeMs:     m.Age.Milliseconds(),

			Utilisation: peer.FromUtilisation(m),
		})
	}
	return out
}

func (c *Control) cursors() []*wire.Cursor {
	var out []*wire.Cursor
	for _, table := range lovageyard.FollowedTables() {
		at := c.state.Cursor(table)
		out = append(out, &wire.Cursor{Table: table, Era: at.Era, Version: at.Version, Whole: c.needsFullValues[table]})
	}
	return out
}

// exchangeResult is the result of an exchange that this instance started.
type exchangeResult struct {
	address     string
	reply       *wire.ShareReply
	err         error
	requestedAt time.Duration
}

func (m exchangeResult) Apply(c *Control) {
	if m.err != nil {
		c.recordPeerFailure(m.address, m.err)
		return
	}
	c.settings.Metrics.Count(meter.PeerExchanges)
	now := c.settings.Timer.Now()
	c.observe(m.reply.GetFrom(), m.reply.GetPulses(), now)
	c.applyCrashes(m.reply.GetCrashes(), m.reply.GetClearances())
	c.applyReply(m.reply, m.requestedAt, now)
}

// applyReply applies the rows and the confirmation in a peer's reply.
func (c *Control) applyReply(reply *wire.ShareReply, requestedAt time.Duration, now time.Time) {
	c.rowSource = reply.GetFrom().GetInstance()
	for _, t := range reply.GetChanges() {
		c.applyChanges(t, now)
	}
	if row := reply.GetConfiguration(); row != nil {
		c.applyLostConfiguration(row)
	}
	c.applySettled(reply)
	c.recordConfirmation(reply.GetConfirmation(), requestedAt)
	c.recordReport(reply.GetContact(), requestedAt)
}

// recordPeerFailure counts and logs a failed call to a peer.
func (c *Control) recordPeerFailure(address string, err error) {
	c.settings.Metrics.Count(meter.PeerFailures, causeOf(err))
	c.settings.Logger.WithError(err).WithField("peer", address).Debug("call to a peer failed")
}

// Causes of failed calls, as metrics name them.
const (
	causeTimeout = "timeout"
	causeOther   = "other"
)

// causeOf returns the cause of a failed call.
func causeOf(err error) string {
	var netErr net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() {
		return causeTimeout
	}
	return causeOther
}

func (c *Control) observe(from *wire.Member, pulses []*wire.Pulse, now time.Time) {
	liveBefore := len(c.members.Live())
	if from.GetInstance() != "" {
		c.directIncarnations[from.GetInstance()] = from.GetLife()
		c.observeMember(peer.ToMember(from), now)
	}
	for _, p := range pulses {
		c.observePulse(p, now)
	}
	if len(c.members.Live()) != liveBefore {
		c.dirty = true
	}
}

// observePulse applies a heartbeat received by gossip, if the instance is a member or has a row.
func (c *Control) observePulse(p *wire.Pulse, now time.Time) {
	m, known := c.members.Find(p.GetInstance())
	if !known || p.GetLife() != c.directIncarnations[p.GetInstance()] {
		// Without a direct message of this incarnation, the instance is described by its row.
		if row, listed := c.state.Instance(p.GetInstance()); listed {
			m.EntryInstance, known = row, true
		}
	}
	if !known {
		return
	}
	if m.Incarnation != p.GetLife() {
		m.UtilisationKnown = false
	}
	m.Incarnation = p.GetLife()
	m.Heartbeat = p.GetHeartbeat()
	m.Age = time.Duration(p.GetAgeMs()) * time.Millisecond
	m.Stale = p.GetBehind()
	peer.SetUtilisation(&m, p.Utilisation)
	m.State = lovageyard.StateLive
	if p.GetLeaving() {
		m.State = lovageyard.StateLeaving
	}
	c.observeMember(m, now)
}

// observeMember applies a member's description. If a previous incarnation of this instance has a higher
// number, because the wall clock has stepped back, this incarnation's number is raised above it.
func (c *Control) observeMember(m instance.Member, now time.Time) {
	if m.Name != c.self.Name {
		before, known := c.members.Find(m.Name)
		c.members.Observe(m, now)
		if !known || before.State != m.State || before.Stale != m.Stale || before.CallerAddress != m.CallerAddress {
			c.dirty = true
		}
		return
	}
	if m.Incarnation > c.self.Incarnation || m.Incarnation == c.self.Incarnation && m.Heartbeat > c.self.Heartbeat {
		c.self.Incarnation = m.Incarnation + 1
		c.members.Observe(c.self, now)
	}
}

func (c *Control) applyChanges(t *wire.TableChanges, now time.Time) {
	changes, err := c.decodeChanges(t)
	if err != nil {
		// The next request asks for full values.
		c.needsFullValues[t.GetTable()] = true
		c.settings.Logger.WithError(err).WithField("table", t.GetTable()).Warn("failed to decode a peer's rows; requesting full values")
		return
	}
	delete(c.needsFullValues, t.GetTable())
	if age := t.GetAgeMs(); age >= 0 && c.hasNewRows(changes) {
		c.recordChangeAge(t.GetTable(), time.Duration(age)*time.Millisecond, now)
	}
	cursor := c.state.Cursor(t.GetTable())
	if changes.After == 0 && c.mayHaveExpired(t.GetTable()) {
		// A list does not say which entries the peer keeps.
		c.state.MarkUnreadable(t.GetTable())
		defer c.state.MarkReadable(t.GetTable())
	}
	applied, invalid := c.state.ApplyChanges(t.GetTable(), changes, now)
	c.logInvalidRows(invalid)
	c.recordEra(t.GetTable(), cursor, now)
	if applied && len(changes.Rows) > 0 {
		c.dirty = true
	}
}

// decodeChanges returns the changes of a wire message; rows that have already been applied get no value.
func (c *Control) decodeChanges(t *wire.TableChanges) (lovageyard.Changes, error) {
	unpacked, err := peer.DecodeTable(t)
	if err != nil {
		return lovageyard.Changes{}, err
	}
	changes := lovageyard.Changes{Era: unpacked.GetEra(), After: unpacked.GetAfter(), To: unpacked.GetTo()}
	if changes.Era < c.state.Cursor(t.GetTable()).Era {
		// Rows from before a restore are not applied, and their bases have been dropped.
		return changes, nil
	}
	knownRows := 0
	for _, sent := range unpacked.GetRows() {
		row := lovageyard.Row{Table: t.GetTable(), Key: sent.GetKey(), Version: sent.GetVersion()}
		if c.state.HasRow(changes.Era, row) {
			knownRows++
			changes.Rows = append(changes.Rows, row)
			continue
		}
		base, found := c.state.ValueAt(t.GetTable(), sent.GetKey(), lovageyard.Position{Era: changes.Era, Version: sent.GetBase()})
		if sent.GetBase() > 0 && !found {
			return changes, errors.Errorf("row %s/%s: base version %d is unknown", t.GetTable(), sent.GetKey(), sent.GetBase())
		}
		row, err := peer.ToRow(t.GetTable(), sent, base)
		if err != nil {
			return changes, err
		}
		changes.Rows = append(changes.Rows, row)
	}
	c.countRows(t, len(changes.Rows), knownRows)
	return changes, nil
}

// countRows updates the metrics of rows received from peers.
func (c *Control) countRows(t *wire.TableChanges, rows, known int) {
	c.settings.Metrics.Add(meter.PeerRows, rows, t.GetTable())
	c.settings.Metrics.Add(meter.PeerRowsKnown, known, t.GetTable())
	c.settings.Metrics.Add(meter.PeerBytes, proto.Size(t), t.GetTable())
}

// Share answers an exchange that a peer started. It is safe for concurrent use; if the request has a wait
// time and there is nothing to send, it blocks until there is or the time has passed.
func (c *Control) Share(ctx context.Context, r *wire.ShareRequest) (*wire.ShareReply, error) {
	answer := make(chan *wire.ShareReply, 1)
	if !c.inbox.Post(shareCall{request: r, answer: answer}) {
		return nil, context.Canceled
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.inbox.Context().Done():
		return nil, context.Canceled
	}
}

// shareCall is an exchange that a peer started.
type shareCall struct {
	request *wire.ShareRequest
	answer  chan *wire.ShareReply
	// receivedAt is when the call was received, as lovageyard.Timer's elapsed time.
	receivedAt time.Duration
}

func (m shareCall) Apply(c *Control) {
	now := c.settings.Timer.Now()
	m.receivedAt = c.settings.Timer.Elapsed()
	c.observe(m.request.GetFrom(), m.request.GetPulses(), now)
	c.applyCrashes(m.request.GetCrashes(), m.request.GetClearances())
	if c.isInEarlierEra(m.request) {
		// A watch that waits at the platform now may never be answered.
		c.watches.cancelAll()
	}
	changes := c.changesFor(m.request)
	if m.request.GetWaitMs() > 0 && c.mayWait(m.request, changes) {
		deadline := now.Add(time.Duration(m.request.GetWaitMs()) * time.Millisecond)
		c.waiters = append(c.waiters, waiter{shareCall: m, deadline: deadline, readCount: c.confirmations.readCount})
		return
	}
	reply := c.newReply(m, changes)
	c.addCrashes(m.request, reply)
	m.answer <- reply
}
