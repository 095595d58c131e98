package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
)

// clientTimeout limits one call to one address.
const clientTimeout = 10 * time.Second

// maxResponseBytes is the maximum size of a response that the client reads.
const maxResponseBytes = 64 << 20

// CallError is an error response of an instance.
type CallError struct {
	Status  int
	Problem Problem
}

// Error returns the message of the problem.
func (e *CallError) Error() string {
	return e.Problem.Error
}

// Client calls the operators' interface of the first instance that responds. It is safe for
// concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
}

// NewClient returns a client that tries the addresses, of the form host:port, in order.
func NewClient(addresses []string) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the status of the instance that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.get(ctx, "/status", &s)
}

// Health returns the health of the instance that responds. The error is a *CallError with status
// 503 if the instance is leaving.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var h Health
	return h, c.get(ctx, "/healthz", &h)
}

// Class returns a class with the version of its row, to be passed to PutClass or DeleteClass.
func (c *Client) Class(ctx context.Context, name string) (VersionedClass, error) {
	var current VersionedClass
	return current, c.get(ctx, "/classes/"+url.PathEscape(name), &current)
}

// PutClass writes a class if its row still has the given version; 0 creates the class. If the row
// has another version, the error is a *CallError with status 409 and the current class.
func (c *Client) PutClass(ctx context.Context, class lovageyard.Class, version int64) (VersionedClass, error) {
	var accepted VersionedClass
	path := "/classes/" + url.PathEscape(class.Name) + "?version=" + strconv.FormatInt(version, 10)
	return accepted, c.call(ctx, http.MethodPut, path, class, &accepted)
}

// DeleteClass deletes a class if its row still has the given version.
func (c *Client) DeleteClass(ctx context.Context, name string, version int64) error {
	path := "/classes/" + url.PathEscape(name) + "?version=" + strconv.FormatInt(version, 10)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

// Drain orders that all traffic leaves a site, by the given time unless that is zero.
func (c *Client) Drain(ctx context.Context, site string, by time.Time) error {
	return c.call(ctx, http.MethodPost, "/sites/"+url.PathEscape(site)+"/drain", DrainOrder{EmptyBy: by}, nil)
}

// Restore cancels the order to drain a site.
func (c *Client) Restore(ctx context.Context, site string) error {
	return c.call(ctx, http.MethodPost, "/sites/"+url.PathEscape(site)+"/restore", nil, nil)
}

// Charges returns the charges in a state, or all charges if state is "".
func (c *Client) Charges(ctx context.Context, state charge.State) ([]charge.Claim, error) {
	var claims []charge.Claim
	return claims, c.get(ctx, "/charges?"+url.Values{"state": {string(state)}}.Encode(), &claims)
}

// Charge returns the charge with a key in a class.
func (c *Client) Charge(ctx context.Context, class, key string) (charge.Claim, error) {
	var claim charge.Claim
	return claim, c.get(ctx, chargePath(class, key), &claim)
}

// SettleCharge settles a charge of unknown outcome as run or not run, on behalf of an operator.
func (c *Client) SettleCharge(ctx context.Context, class, key string, ran bool, operator string) (charge.Claim, error) {
	var settled charge.Claim
	settlement := Settlement{Ran: ran, Operator: operator}
	return settled, c.call(ctx, http.MethodPost, chargePath(class, key)+"/settle", settlement, &settled)
}

func chargePath(class, key string) string {
	return "/charges/" + url.PathEscape(class) + "/" + url.PathEscape(key)
}

// Explain returns where a request of a client would be routed, and why.
func (c *Client) Explain(ctx context.Context, class, client string) (Explanation, error) {
	var e Explanation
	query := url.Values{"class": {class}, "client": {client}}
	return e, c.get(ctx, "/explain?"+query.Encode(), &e)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// call tries the addresses in order. A write is sent to the next address only if no connection
// to the previous one could be established, because otherwise it may already have taken effect.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "request")
		}
	}
	lastErr := errors.New("no operator address is configured")
	for _, address := range c.addresses {
		response, err := c.send(ctx, method, "http://"+address+path, data)
		if err != nil {
			lastErr = err
			if method != http.MethodGet && !isDialError(err) {
				return errors.Wrap(err, "the request may have taken effect")
			}
			continue
		}
		return decodeResponse(response, into)
	}
	return errors.Wrap(lastErr, "no operator address answered")
}

func (c *Client) send(ctx context.Context, method, address string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

func decodeResponse(response *http.Response, into any) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	if response.StatusCode != http.StatusOK {
		failure := &CallError{Status: response.StatusCode}
		if json.Unmarshal(data, &failure.Problem) != nil || failure.Problem.Error == "" {
			failure.Problem.Error = response.Status
		}
		return failure
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, into), "answer")
}

func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
