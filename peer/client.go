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
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 10 * time.Second
)

// Client calls other entry instances.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		http: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:     dialer.DialContext,
				IdleConnTimeout: idleTimeout,
			},
		},
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
	reply, err := wire.NewFleetProtobufClient("http://"+address, c.http).Share(ctx, r)
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
