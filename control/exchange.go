package control

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
)

// Limits of the exchange.
const (
	exchangePeriod = time.Second
	// maxMembers is the maximum number of members in one message.
	maxMembers = 16
)

// exchange starts the exchanges that are due: with the relays and one random neighbour, with a
// relay of another failure domain if this instance is a relay, and with the seed peers while
// no configuration or no neighbour is known.
func (c *Control) exchange(now time.Time) {
	if !c.isDue("exchange", exchangePeriod, now) {
		return
	}
	for _, address := range c.exchangeAddresses() {
		c.exchangeWith(address)
	}
}

// exchangeAll starts an exchange with every neighbour and a few relays of other failure domains.
func (c *Control) exchangeAll(time.Time) {
	for _, m := range c.members.Neighbours() {
		c.exchangeWith(m.PeerAddress)
	}
	for range instance.RelaysPerDomain {
		c.exchangeWith(c.remoteRelay())
	}
}

func (c *Control) exchangeAddresses() []string {
	var addresses []string
	relays := c.relays()
	neighbours := c.members.Neighbours()
	for _, m := range neighbours {
		for _, r := range relays {
			if m.Name == r {
				addresses = append(addresses, m.PeerAddress)
			}
		}
	}
	if len(neighbours) > 0 {
		addresses = append(addresses, neighbours[c.random.IntN(len(neighbours))].PeerAddress)
	}
	if c.isRelay() {
		addresses = append(addresses, c.remoteRelay())
	}
	if c.config.Version() == 0 || len(neighbours) == 0 {
		addresses = append(addresses, c.settings.SeedPeers...)
	}
	return addresses
}

// remoteRelay returns the address of a relay of a random other failure domain, or "". Updates
// spread fastest among relays, because they receive those of their failure domain directly.
func (c *Control) remoteRelay() string {
	domains := slices.DeleteFunc(c.failureDomains(), func(name string) bool { return name == c.self.FailureDomain })
	if len(domains) == 0 {
		return ""
	}
	relays := c.members.Relays(domains[c.random.IntN(len(domains))])
	if len(relays) == 0 {
		return ""
	}
	return c.peerAddress(relays[c.random.IntN(len(relays))])
}

func (c *Control) exchangeWith(address string) {
	if address == "" || address == c.self.PeerAddress {
		return
	}
	request := &wire.ExchangeRequest{
		From:          peer.FromMember(c.self),
		Members:       c.wireMembers(),
		Marks:         c.wireMarks(),
		Version:       c.config.Version(),
		Era:           c.config.Position().Era,
		WantApplied:   c.wantsApplied(),
		BlocksVersion: c.blocksVersion,
		WantBlocks:    c.newestBlocksVersion > c.blocksVersion,
		WantListing:   c.settings.Timer.Now().Sub(c.listedAt) > 2*listPeriod,
	}
	c.inbox.Call("exchange "+address, func(ctx context.Context) message {
		reply, err := c.settings.Peers.Exchange(ctx, address, request)
		return exchangeResult{reply: reply, err: err}
	})
}

func (c *Control) wantsApplied() bool {
	for _, cs := range c.classes {
		if !cs.stepper.Initialized() {
			return true
		}
	}
	return c.config.Version() == 0
}

// wireMembers returns a selection of members to send to a peer.
func (c *Control) wireMembers() []*wire.Member {
	var out []*wire.Member
	for _, m := range c.members.Gossip(maxMembers, c.settings.Timer.Now()) {
		if m.Name != c.self.Name {
			out = append(out, peer.FromMember(m))
		}
	}
	return out
}

func (c *Control) wireMarks() []*wire.ServerMark {
	var marks []*wire.ServerMark
	for k, state := range c.marks {
		if state == lovageyard.StateLive {
			continue
		}
		marks = append(marks, &wire.ServerMark{Service: k.service, Site: k.site, Server: k.server, State: string(state)})
	}
	return marks
}

// exchangeResult is the result of an exchange that this instance started.
type exchangeResult struct {
	reply *wire.ExchangeReply
	err   error
}

func (m exchangeResult) Apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("exchange failed")
		return
	}
	now := c.settings.Timer.Now()
	from := peer.ToMember(m.reply.GetFrom())
	c.applyGossip(m.reply.GetFrom(), m.reply.GetMembers(), m.reply.GetMarks())
	if m.reply.GetChanges() != nil {
		c.receiveChanges(m.reply.GetChanges())
	}
	for _, a := range m.reply.GetApplied() {
		if cs := c.classes[a.GetClass()]; cs != nil && !cs.stepper.Initialized() {
			cs.stepper.Initialize(peer.ToPlacement(a), now)
			c.dirty = true
		}
	}
	if listing := m.reply.GetListing(); len(listing) > 0 {
		age := time.Duration(m.reply.GetListingAgeMs()) * time.Millisecond
		c.receiveListing(listing, now.Add(-age))
	}
	c.newestBlocksVersion = max(c.newestBlocksVersion, m.reply.GetBlocksVersion())
	if compressed := m.reply.GetBlocks(); len(compressed) > 0 {
		c.receiveBlocks(compressed, m.reply.GetBlocksVersion())
	}
	if slices.Contains(c.relays(), from.Name) {
		c.relayReplyAt = now
		c.notifyEra()
	}
}

func (c *Control) receiveChanges(w *wire.Changes) {
	changes, err := peer.ToChanges(w)
	if err != nil {
		c.settings.Logger.WithError(err).Warn("decoding a peer's changes failed")
		return
	}
	c.applyChanges(changes)
}

// receiveListing applies a listing that a peer has sent, if it was read more recently than the
// current one.
func (c *Control) receiveListing(data []byte, readAt time.Time) {
	var l lovageyard.Listing
	if !readAt.After(c.listedAt) || json.Unmarshal(data, &l) != nil {
		return
	}
	c.setListing(l, readAt)
}

// applyGossip applies a peer's report about itself, other members and servers.
func (c *Control) applyGossip(from *wire.Member, members []*wire.Member, marks []*wire.ServerMark) {
	now := c.settings.Timer.Now()
	before := len(c.members.Live())
	c.applyMember(from, now)
	for _, m := range members {
		c.applyMember(m, now)
	}
	if len(c.members.Live()) != before {
		c.dirty = true
	}
	for _, m := range marks {
		k := poolServer{poolKey: poolKey{service: m.GetService(), site: m.GetSite()}, server: m.GetServer()}
		if _, known := c.marks[k]; !known {
			serverMark{poolServer: k, state: lovageyard.InstanceState(m.GetState())}.Apply(c)
		}
	}
}

func (c *Control) applyMember(w *wire.Member, now time.Time) {
	m := peer.ToMember(w)
	if m.Name == "" || m.Name == c.self.Name {
		return
	}
	if c.members.Observe(m, now) && m.State != lovageyard.StateLive {
		c.dirty = true
	}
}

// Exchange handles an exchange that a peer started.
func (c *Control) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply := make(chan *wire.ExchangeReply, 1)
	if !c.inbox.Post(exchangeQuery{request: r, reply: reply}) {
		return nil, context.Canceled
	}
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.inbox.Context().Done():
		return nil, context.Canceled
	}
}

type exchangeQuery struct {
	request *wire.ExchangeRequest
	reply   chan *wire.ExchangeReply
}

func (m exchangeQuery) Apply(c *Control) {
	r := m.request
	c.applyGossip(r.GetFrom(), r.GetMembers(), r.GetMarks())
	reply := &wire.ExchangeReply{
		From:    peer.FromMember(c.self),
		Members: c.wireMembers(),
		Marks:   c.wireMarks(),
	}
	reply.BlocksVersion = c.blocksVersion
	if r.GetWantBlocks() && r.GetBlocksVersion() < c.blocksVersion {
		reply.Blocks = c.compressedBlocks
	}
	if known := c.positionOf(r); known.Before(c.config.Position()) {
		reply.Changes = peer.FromChanges(c.config.Since(known))
	}
	if r.GetWantApplied() {
		reply.Applied = c.wireApplied()
	}
	if r.GetWantListing() && len(c.listing.BackendServers) > 0 {
		reply.Listing, _ = json.Marshal(c.listing)
		reply.ListingAgeMs = c.settings.Timer.Now().Sub(c.listedAt).Milliseconds()
	}
	m.reply <- reply
}

// positionOf returns the position of the configuration at a caller. One of an older version does not state its
// era, and compares versions without.
func (c *Control) positionOf(r *wire.ExchangeRequest) lovageyard.Position {
	return lovageyard.Position{Era: cmp.Or(r.GetEra(), c.config.Position().Era), Version: r.GetVersion()}
}

func (c *Control) wireApplied() []*wire.Applied {
	var out []*wire.Applied
	for name, cs := range c.classes {
		if cs.stepper.Initialized() {
			out = append(out, peer.FromPlacement(name, appliedPlacement(cs)))
		}
	}
	return out
}

func appliedPlacement(cs *classState) move.Placement {
	return cs.stepper.Applied()
}
