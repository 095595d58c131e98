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

// Timeouts of calls to peers.
const (
	// callTimeout is the timeout for the response header, in addition to the time that the call may wait
	// at the peer, and the idle timeout while the response is read.
	callTimeout = time.Second
	// maxCallDuration limits the whole call, in addition to its wait time, even if bytes keep arriving: a
	// row of 1 MB takes 0.8 s on a link of 10 Mbit/s, and several times as long with concurrent transfers.
	maxCallDuration = 30 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, which detect a peer that has stopped
	// answering while a call waits.
	keepAliveInterval = time.Second
	// maxReplyBytes limits the body of a reply, which may contain all of the platform's tables, and
	// maxReplyHeadBytes its headers.
	maxReplyBytes     = 16 << 20
	maxReplyHeadBytes = 16 << 10
	dialTimeout       = 500 * time.Millisecond
	idleTimeout       = 10 * time.Second
)

// Client calls other entry instances. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool; Close closes its idle connections.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
	}
	transport := &http.Transport{DialContext: transfer.DialContext(dialer), IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxReplyHeadBytes}
	return &Client{http: &http.Client{Transport: transport}}
}

// transferClient returns an HTTP client for calls whose answer may take the given wait time.
func (c *Client) transferClient(wait time.Duration) transfer.Client {
	return transfer.Client{
		HTTP:     c.http,
		MaxBytes: maxReplyBytes,
		Timeouts: transfer.Timeouts{ResponseHeader: wait + callTimeout, Idle: callTimeout, Total: wait + maxCallDuration},
	}
}

// Exchange sends members and versions to the peer at an address, and returns the peer's.
func (c *Client) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply, err := wire.NewPeersProtobufClient("http://"+address, c.transferClient(0)).Exchange(ctx, r)
	if err != nil {
		// Do not reuse a connection that may be dead.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "exchange with "+address)
	}
	return reply, nil
}

// Share exchanges heartbeats and the platform's rows with the peer at an address. The peer may delay the
// answer by the request's wait time.
func (c *Client) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	client := c.transferClient(time.Duration(r.GetWaitMs()) * time.Millisecond)
	reply, err := wire.NewFleetProtobufClient("http://"+address, client).Share(ctx, r)
	if err != nil {
		// Do not reuse a connection that may be dead.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "share with "+address)
	}
	return reply, nil
}

// Settle reports the use of accounts' limits to the owner of the accounts, the instance at an address, and
// returns the tokens that it grants.
func (c *Client) Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error) {
	reply, err := wire.NewQuotaProtobufClient("http://"+address, c.transferClient(0)).Settle(ctx, r)
	return reply, errors.Wrap(err, "settle with "+address)
}

// Report sends measured demand to the peer at an address, a relay or the planner.
func (c *Client) Report(ctx context.Context, address string, r *wire.DemandReport) error {
	_, err := wire.NewPeersProtobufClient("http://"+address, c.transferClient(0)).Report(ctx, r)
	return errors.Wrap(err, "report to "+address)
}

// Close closes the idle connections; the client can still be used.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
