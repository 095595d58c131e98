package control

import (
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
	exchangeEvery = time.Second
	// maxMembers bounds the members that one message passes on.
	maxMembers = 16
)

// exchange begins the exchanges that are due: with the relays and one other neighbour,
// with one instance elsewhere if this one is a relay, and with the seed peers while
// nobody else is known.
func (c *Control) exchange(now time.Time) {
	if !c.every("exchange", exchangeEvery, now) {
		return
	}
	for _, address := range c.partners() {
		c.exchangeWith(address)
	}
}

// exchangeAll begins an exchange with every neighbour and a few instances elsewhere.
func (c *Control) exchangeAll(time.Time) {
	for _, m := range c.members.Neighbours() {
		c.exchangeWith(m.PeerAddress)
	}
	for range instance.RelaysPerDomain {
		c.exchangeWith(c.elsewhere())
	}
}

func (c *Control) partners() []string {
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
		addresses = append(addresses, c.elsewhere())
	}
	if c.config.Version() == 0 || len(neighbours) == 0 {
		addresses = append(addresses, c.settings.SeedPeers...)
	}
	return addresses
}

// elsewhere returns the address of a relay of a random other failure domain, or "". Relays
// hear their own failure domain first hand, so that word goes round fastest among them.
func (c *Control) elsewhere() string {
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
		WantApplied:   c.wantsApplied(),
		BlocksVersion: c.blocksVer,
		WantBlocks:    c.newBlocks > c.blocksVer,
		WantListing:   c.settings.Timer.Now().Sub(c.listedAt) > 2*listEvery,
	}
	c.inbox.Call("exchange "+address, func(ctx context.Context) message {
		reply, err := c.settings.Peers.Exchange(ctx, address, request)
		return exchanged{reply: reply, err: err}
	})
}

func (c *Control) wantsApplied() bool {
	for _, w := range c.works {
		if !w.stepper.Initialized() {
			return true
		}
	}
	return c.config.Version() == 0
}

// wireMembers returns the members to pass on.
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

// exchanged is the end of an exchange that this instance began.
type exchanged struct {
	reply *wire.ExchangeReply
	err   error
}

func (m exchanged) Apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("exchange failed")
		return
	}
	now := c.settings.Timer.Now()
	from := peer.ToMember(m.reply.GetFrom())
	c.hear(m.reply.GetFrom(), m.reply.GetMembers(), m.reply.GetMarks())
	if m.reply.GetChanges() != nil {
		c.hearChanges(m.reply.GetChanges())
	}
	for _, a := range m.reply.GetApplied() {
		if w := c.works[a.GetClass()]; w != nil && !w.stepper.Initialized() {
			w.stepper.Initialize(peer.ToPlacement(a), now)
			c.dirty = true
		}
	}
	if listing := m.reply.GetListing(); len(listing) > 0 {
		age := time.Duration(m.reply.GetListingAgeMs()) * time.Millisecond
		c.hearListing(listing, now.Add(-age))
	}
	c.newBlocks = max(c.newBlocks, m.reply.GetBlocksVersion())
	if zipped := m.reply.GetBlocks(); len(zipped) > 0 {
		c.hearBlocks(zipped, m.reply.GetBlocksVersion())
	}
	if slices.Contains(c.relays(), from.Name) {
		c.heardAt = now
	}
}

func (c *Control) hearChanges(w *wire.Changes) {
	changes, err := peer.ToChanges(w)
	if err != nil {
		c.settings.Logger.WithError(err).Warn("a peer's changes could not be read")
		return
	}
	c.applyChanges(changes)
}

// hearListing takes in the platform's list as a peer has read it, if it is newer.
func (c *Control) hearListing(data []byte, readAt time.Time) {
	var l lovageyard.Listing
	if !readAt.After(c.listedAt) || json.Unmarshal(data, &l) != nil {
		return
	}
	c.setListing(l, readAt)
}

// hear takes in what a peer says of itself and of others.
func (c *Control) hear(from *wire.Member, members []*wire.Member, marks []*wire.ServerMark) {
	now := c.settings.Timer.Now()
	before := len(c.members.Live())
	c.hearMember(from, now)
	for _, m := range members {
		c.hearMember(m, now)
	}
	if len(c.members.Live()) != before {
		c.dirty = true
	}
	for _, m := range marks {
		k := poolServer{poolKey: poolKey{service: m.GetService(), site: m.GetSite()}, server: m.GetServer()}
		if _, known := c.marks[k]; !known {
			serverMarked{poolServer: k, state: lovageyard.InstanceState(m.GetState())}.Apply(c)
		}
	}
}

func (c *Control) hearMember(w *wire.Member, now time.Time) {
	m := peer.ToMember(w)
	if m.Name == "" || m.Name == c.self.Name {
		return
	}
	if c.members.Observe(m, now) && m.State != lovageyard.StateLive {
		c.dirty = true
	}
}

// Exchange answers the exchange that a peer began.
func (c *Control) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply := make(chan *wire.ExchangeReply, 1)
	if !c.inbox.Post(exchangeAsked{request: r, reply: reply}) {
		return nil, context.Canceled
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.inbox.Context().Done():
		return nil, context.Canceled
	}
}

type exchangeAsked struct {
	request *wire.ExchangeRequest
	reply   chan *wire.ExchangeReply
}

func (m exchangeAsked) Apply(c *Control) {
	r := m.request
	c.hear(r.GetFrom(), r.GetMembers(), r.GetMarks())
	answer := &wire.ExchangeReply{
		From:    peer.FromMember(c.self),
		Members: c.wireMembers(),
		Marks:   c.wireMarks(),
	}
	answer.BlocksVersion = c.blocksVer
	if r.GetWantBlocks() && r.GetBlocksVersion() < c.blocksVer {
		answer.Blocks = c.blocksZip
	}
	if r.GetVersion() < c.config.Version() {
		answer.Changes = peer.FromChanges(c.config.Since(r.GetVersion()))
	}
	if r.GetWantApplied() {
		answer.Applied = c.wireApplied()
	}
	if r.GetWantListing() && len(c.listing.BackendServers) > 0 {
		answer.Listing, _ = json.Marshal(c.listing)
		answer.ListingAgeMs = c.settings.Timer.Now().Sub(c.listedAt).Milliseconds()
	}
	m.reply <- answer
}

func (c *Control) wireApplied() []*wire.Applied {
	var out []*wire.Applied
	for name, w := range c.works {
		if w.stepper.Initialized() {
			out = append(out, peer.FromPlacement(name, appliedOf(w)))
		}
	}
	return out
}

func appliedOf(w *work) move.Placement {
	return w.stepper.Applied()
}
