package fleet

import (
	"context"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
)

// In each failure domain one instance, the relay, watches the platform's tables on behalf of the others.
// The others wait for rows at their own relay and at the relay of another domain of their region, so that
// calls to the platform grow with the number of failure domains, not instances, and a relay that stops
// answering delays no row. A domain that is alone in its region has two relays. Instances that disagree
// on the relays make more calls but lose no rows: an instance that follows no healthy relay watches the
// platform itself, and so does one whose relays have not reported contact with the platform recently.

const (
	// relayWait is how long a call to a relay waits for rows, if another relay reports its contact with the platform.
	relayWait = 5 * time.Second
)

// relayState is the state of the calls to one relay.
type relayState struct {
	// healthy is set if the last call was answered and the relay can read the platform.
	healthy bool
	// era is that of the relay's orders, as of its last answer.
	era int64
}

// relayNames returns the names of the relays that instances of the own failure domain follow.
func (c *Control) relayNames() []string {
	own := c.members.Relays(c.self.FailureDomain)
	if len(own) == 0 {
		return nil
	}
	if other := c.members.Relays(c.nextDomain()); len(other) > 0 {
		return []string{own[0], other[0]}
	}
	return own
}

// nextDomain returns the next failure domain of this instance's region after its own one, by name and
// wrapping around, or "" if the region has no other.
func (c *Control) nextDomain() string {
	var domains []string
	for _, m := range c.inRegion(c.members.Live()) {
		if m.FailureDomain != c.self.FailureDomain {
			domains = append(domains, m.FailureDomain)
		}
	}
	if len(domains) == 0 {
		return ""
	}
	slices.Sort(domains)
	for _, domain := range domains {
		if domain > c.self.FailureDomain {
			return domain
		}
	}
	return domains[0]
}

// relayAddresses returns the addresses of the relays to follow; there are none if this instance is a relay.
func (c *Control) relayAddresses() []string {
	relays := c.relayNames()
	if slices.Contains(relays, c.self.Name) {
		return nil
	}
	var addresses []string
	for _, name := range relays {
		if m, known := c.members.Find(name); known {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// followRelays keeps a pending call at each relay, and decides whether this instance watches the platform.
func (c *Control) followRelays() {
	addresses := c.relayAddresses()
	c.isRelay.Store(len(addresses) == 0)
	for address := range c.relays {
		if !slices.Contains(addresses, address) {
			delete(c.relays, address)
		}
	}
	if c.hasAllTables() {
		for _, address := range addresses {
			if c.relays[address] == nil {
				c.relays[address] = &relayState{}
			}
			c.callRelay(address)
		}
	}
	c.watchesPlatform.Store(!c.hasHealthyRelay())
}

// hasHealthyRelay reports whether a healthy relay is followed.
func (c *Control) hasHealthyRelay() bool {
	for _, r := range c.relays {
		if r.healthy {
			return true
		}
	}
	return false
}

// callRelay starts a call to a relay. While the relay is not known to be healthy, the call does not wait, so
// that it shows quickly whether the relay reads the platform. One relay reports its contact with the platform
// whenever it has read a table; all do if the configuration has to be confirmed.
func (c *Control) callRelay(address string) {
	request := c.newRequest()
	request.Cursors = c.cursors()
	if c.relays[address].healthy {
		request.WaitMs = relayWait.Milliseconds()
		if request.Confirm = c.needsConfirmation() || address == c.reportingRelay(); request.Confirm {
			request.WaitMs = c.contactPeriod().Milliseconds()
		}
	}
	c.inbox.Call("follow "+address, func(ctx context.Context) message {
		requestedAt := c.settings.Timer.Elapsed()
		reply, err := c.settings.Peers.Share(ctx, address, request)
		return relayResult{address: address, reply: reply, err: err, requestedAt: requestedAt}
	})
}

// reportingRelay returns the address of the first healthy relay.
func (c *Control) reportingRelay() string {
	for _, address := range c.relayAddresses() {
		if r := c.relays[address]; r != nil && r.healthy {
			return address
		}
	}
	return ""
}

// relayResult is the result of a call to a relay.
type relayResult struct {
	address     string
	reply       *wire.ShareReply
	err         error
	requestedAt time.Duration
}

func (m relayResult) Apply(c *Control) {
	r := c.relays[m.address]
	if r == nil {
		return
	}
	before := r.healthy
	if m.err != nil {
		c.recordPeerFailure(m.address, m.err)
	} else {
		now := c.settings.Timer.Now()
		r.era = m.reply.GetEra()
		c.observe(m.reply.GetFrom(), m.reply.GetPulses(), now)
		c.applyReply(m.reply, m.requestedAt, now)
	}
	r.healthy = m.err == nil && !m.reply.GetStale() && r.era >= c.state.Cursor(lovageyard.TableOrders).Era
	if before != r.healthy {
		c.settings.Logger.WithField("relay", m.address).WithField("sound", r.healthy).Info("relay health changed")
	}
	if r.healthy {
		for _, table := range lovageyard.FollowedTables() {
			c.recordFeedSuccess(table, c.settings.Timer.Now())
		}
		// An unhealthy relay is called again at the next tick.
		c.followRelays()
		return
	}
	c.watchesPlatform.Store(!c.hasHealthyRelay())
}

// waiter is a peer's pending call that waits for rows or a confirmation.
type waiter struct {
	shareCall
	deadline time.Time
	// readCount is confirmations.readCount when the call was received.
	readCount int
}

// answerWaiters answers the pending calls for which there are rows or a new confirmation and those whose
// wait has ended, or all calls if this instance can't read the platform.
func (c *Control) answerWaiters(now time.Time) {
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		changes := c.changesFor(w.request)
		confirmed := w.request.GetConfirm() && c.confirmations.readCount > w.readCount
		if c.mayWait(w.request, changes) && now.Before(w.deadline) && !confirmed {
			kept = append(kept, w)
			continue
		}
		w.answer <- c.newReply(w.shareCall, changes)
	}
	c.waiters = kept
}

// mayWait reports whether the answer to a request may wait, as there is nothing new for its sender.
func (c *Control) mayWait(r *wire.ShareRequest, changes []*wire.TableChanges) bool {
	return len(changes) == 0 && c.canRelay() && !c.isInEarlierEra(r) && !c.lacksLostConfiguration(r)
}

// isPlatformUnavailable reports whether this instance currently can't read a table of the platform, or has
// not read one yet.
func (c *Control) isPlatformUnavailable() bool {
	return len(c.failingSince) > 0 || !c.hasAllTables()
}

// canRelay reports whether peers can rely on this instance to watch the platform for them.
func (c *Control) canRelay() bool {
	return !c.isPlatformUnavailable() && c.watchesPlatform.Load() && c.startPeriodLeft() <= 0
}

func (c *Control) newReply(m shareCall, changes []*wire.TableChanges) *wire.ShareReply {
	reply := &wire.ShareReply{
		From:         peer.FromMember(c.self),
		Changes:      changes,
		Stale:        !c.canRelay() || c.isInEarlierEra(m.request),
		Confirmation: c.confirmation(m.receivedAt),
		Era:          c.state.Cursor(lovageyard.TableOrders).Era,
		Settled:      c.hasSettledForPeers(),
		Contact:      c.contact(m.receivedAt),
	}
	if c.lacksLostConfiguration(m.request) {
		reply.Configuration = c.lostConfiguration()
	}
	if !m.request.GetConfirm() || len(changes) > 0 {
		// Replies that only confirm are sent each second; heartbeats of others spread by gossip anyway.
		reply.Pulses = c.pulses()
	}
	return reply
}

// awaitWatching waits until this instance has to watch a table itself; it returns false when the loop has
// stopped.
func (c *Control) awaitWatching(table string) bool {
	for c.inbox.Context().Err() == nil {
		if c.watchesPlatform.Load() || c.lacksReports() {
			return true
		}
		c.unwatched[table].Store(true)
		c.sleep(relayCheckInterval)
	}
	return false
}

// changesFor returns the changes that a peer lacks, by the cursors in its request.
func (c *Control) changesFor(r *wire.ShareRequest) []*wire.TableChanges {
	var out []*wire.TableChanges
	for _, cursor := range r.GetCursors() {
		have := c.positionOf(r, cursor)
		if !have.Before(c.state.Cursor(cursor.GetTable())) {
			continue
		}
		changes := c.state.ChangesSince(cursor.GetTable(), have)
		if len(changes.Rows) == 0 && changes.After > 0 {
			continue
		}
		c.markKept(changes.Rows)
		encoded, err := c.encoder.EncodeTable(cursor.GetTable(), changes, c.baseLookup(cursor, have), r.GetReads())
		if err != nil {
			c.settings.Logger.WithError(err).Error("failed to encode rows for a peer")
			continue
		}
		encoded.AgeMs = c.changeAge(cursor.GetTable(), c.settings.Timer.Now())
		out = append(out, encoded)
	}
	return out
}

// markKept sets how long the servers of deleted entries are still used.
func (c *Control) markKept(rows []lovageyard.Row) {
	now := c.settings.Timer.Now()
	for i := range rows {
		rows[i].KeepFor = 0
		if r := rows[i]; r.Deleted && r.Table == lovageyard.TableServers {
			rows[i].KeepFor = c.state.KeptFor(r.Key, now)
		}
	}
}

// positionOf returns the position of a cursor in a request. A peer of an older version compares versions
// without their eras.
func (c *Control) positionOf(r *wire.ShareRequest, cursor *wire.Cursor) lovageyard.Position {
	if !r.GetEras() {
		return lovageyard.Position{Era: c.state.Cursor(cursor.GetTable()).Era, Version: cursor.GetVersion()}
	}
	return lovageyard.Position{Era: cursor.GetEra(), Version: cursor.GetVersion()}
}

// baseLookup returns the lookup of the rows that a peer has at its cursor, as bases for deltas.
func (c *Control) baseLookup(cursor *wire.Cursor, have lovageyard.Position) peer.BaseLookup {
	if cursor.GetWhole() {
		return peer.NoBase
	}
	return func(r lovageyard.Row) (lovageyard.Row, bool) { return c.state.DeltaBase(r, have) }
}
