package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/transfer"
)

// Bounds of one call to a peer.
const (
	// callTimeout is how long a peer may take to begin its answer beyond the time that the call
	// may wait, and how long it may pause within it.
	callTimeout = time.Second
	// callLongest bounds a call beyond that time, however well it goes on: a row of 1 MB takes 0.8 s
	// on a link of 10 Mbit/s, and several times as long beside others.
	callLongest = 30 * time.Second
	// keepAlive finds, while a call waits, a peer that has gone silent.
	keepAlive   = time.Second
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 10 * time.Second
)

// Client calls other entry instances.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
	}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout}
	return &Client{http: &http.Client{Transport: transport}}
}

// within returns a client for calls of which the answer may wait so long.
func (c *Client) within(wait time.Duration) transfer.Client {
	return transfer.Client{
		HTTP:     c.http,
		Timeouts: transfer.Timeouts{ResponseHeader: wait + callTimeout, Idle: callTimeout, Total: wait + callLongest},
	}
}

// Exchange sends one exchange to the peer at an address.
func (c *Client) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply, err := wire.NewPeersProtobufClient("http://"+address, c.within(0)).Exchange(ctx, r)
	if err != nil {
		// A connection that has gone silent is not used again.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "exchange with "+address)
	}
	return reply, nil
}

// Share exchanges liveness and the platform's rows with the peer at an address.
func (c *Client) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	client := c.within(time.Duration(r.GetWaitMs()) * time.Millisecond)
	reply, err := wire.NewFleetProtobufClient("http://"+address, client).Share(ctx, r)
	if err != nil {
		// A connection that has gone silent is not used again.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "share with "+address)
	}
	return reply, nil
}

// Settle reports what was used of accounts' limits to their owner at an address.
func (c *Client) Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error) {
	reply, err := wire.NewQuotaProtobufClient("http://"+address, c.within(0)).Settle(ctx, r)
	return reply, errors.Wrap(err, "settle with "+address)
}

// Report sends measured demand to the peer at an address.
func (c *Client) Report(ctx context.Context, address string, r *wire.DemandReport) error {
	_, err := wire.NewPeersProtobufClient("http://"+address, c.within(0)).Report(ctx, r)
	return errors.Wrap(err, "report to "+address)
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
