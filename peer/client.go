package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/peer/wire"
)

// Bounds of one call to a peer.
const (
	callTimeout = time.Second
	// keepAlive finds, while a call waits, a peer that has gone silent.
	keepAlive   = time.Second
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 10 * time.Second
)

// Client calls other entry instances.
type Client struct {
	http *http.Client
	// waiting is for calls that may wait; they are bounded by their contexts.
	waiting *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
	}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout}
	return &Client{
		http:    &http.Client{Timeout: callTimeout, Transport: transport},
		waiting: &http.Client{Transport: transport},
	}
}

// Exchange sends one exchange to the peer at an address.
func (c *Client) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply, err := wire.NewPeersProtobufClient("http://"+address, c.http).Exchange(ctx, r)
	if err != nil {
		// A connection that has gone silent is not used again.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "exchange with "+address)
	}
	return reply, nil
}

// Share exchanges liveness and the platform's rows with the peer at an address.
func (c *Client) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	client := c.http
	if r.GetWaitMs() > 0 {
		bound := time.Duration(r.GetWaitMs())*time.Millisecond + callTimeout
		waited, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		ctx = waited
		client = c.waiting
	}
	reply, err := wire.NewFleetProtobufClient("http://"+address, client).Share(ctx, r)
	if err != nil {
		// A connection that has gone silent is not used again.
		c.http.CloseIdleConnections()
		return nil, errors.Wrap(err, "share with "+address)
	}
	return reply, nil
}

// Report sends measured demand to the peer at an address.
func (c *Client) Report(ctx context.Context, address string, r *wire.DemandReport) error {
	_, err := wire.NewPeersProtobufClient("http://"+address, c.http).Report(ctx, r)
	return errors.Wrap(err, "report to "+address)
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
