package backend

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// HealthPath is the path at which backend servers tell their load and health.
const HealthPath = "/load"

// Bounds of connections to backend servers.
const (
	dialTimeout    = time.Second
	probeTimeout   = time.Second
	idleTimeout    = 20 * time.Second
	maxIdlePerHost = 8
	maxPerHost     = 32
	keepAlive      = 5 * time.Second
	maxHeaderBytes = 64 << 10
)

// Client is the adapter for backend servers.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with a pool of connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	return &Client{
		transport: &http.Transport{
			DialContext:            dial,
			MaxIdleConns:           0,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxConnsPerHost:        maxPerHost,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// attempt follows one request through the connections that the transport tries for it.
type attempt struct {
	conn *countedConn
	mark uint64
	left bool
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.endConn()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		a.left = true
		return
	}
	a.conn = conn
	a.mark = conn.mark()
}

// endConn notes whether bytes of the request left on the connection tried last.
func (a *attempt) endConn() {
	if a.conn != nil && a.conn.seal(a.mark) {
		a.left = true
	}
	a.conn = nil
}

// Send makes one attempt at a server. The error is a *lovageyard.RequestError.
func (c *Client) Send(r *http.Request, s lovageyard.BackendServer) (*http.Response, error) {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.URL.Scheme = "http"
	r.URL.Host = s.Address
	response, err := c.transport.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	a.endConn()
	if a.left {
		return nil, lovageyard.MayHaveRun("the backend server did not answer", err)
	}
	return nil, lovageyard.NotRun("the backend server could not be reached", err)
}

// Probe asks a server for its load.
func (c *Client) Probe(ctx context.Context, s lovageyard.BackendServer) (lovageyard.LoadReport, error) {
	var report lovageyard.LoadReport
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+HealthPath, nil)
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return report, errors.Wrap(err, "probe")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("probe answered %d", response.StatusCode)
	}
	return report, errors.Wrap(json.NewDecoder(response.Body).Decode(&report), "probe")
}

// ReportOf returns the load report that an answer carries, and whether it does.
func ReportOf(h http.Header) (lovageyard.LoadReport, bool) {
	var report lovageyard.LoadReport
	text := h.Get(lovageyard.LoadHeader)
	if text == "" || json.Unmarshal([]byte(text), &report) != nil {
		return lovageyard.LoadReport{}, false
	}
	return report, true
}
