package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovageyard.example/lovageyard/platform/fake"
)

// Behaviour of the callers of a run that plays refusals, as shares of the requests.
const (
	chargeShare     = 0.75
	shortShare      = 0.25
	halfClosedShare = 0.04
	goneShare       = 0.04
	freshShare      = 0.3
	// maxRepeats is the number of times that an impatient caller repeats a request at once.
	maxRepeats     = 2
	impatientShare = 0.3
	ticksPerSecond = 100
)

// bodySizes are the sizes of the bodies of charges; the largest does not fit into one write.
var bodySizes = []int{0, 300, 6 << 10, 40 << 10}

// refusalCallers send requests at a rate and record the answers in a ledger.
type refusalCallers struct {
	deployment *deployment
	ledger     *ledger
	options    options
	run        string
	clients    []*http.Client
	lastNumber atomic.Int64
	running    sync.WaitGroup
}

func newRefusalCallers(d *deployment, l *ledger, o options, seed uint64) *refusalCallers {
	c := &refusalCallers{deployment: d, ledger: l, options: o, run: fmt.Sprint(seed)}
	for range max(1, o.Callers) {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}})
	}
	return c
}

// send sends requests at the rate for a time, in small groups, and waits for the answers.
func (c *refusalCallers) send(span time.Duration) {
	ticker := time.NewTicker(time.Second / ticksPerSecond)
	defer ticker.Stop()
	perTick := float64(c.options.Rate) / ticksPerSecond
	due := 0.0
	for end := time.Now().Add(span); time.Now().Before(end); {
		<-ticker.C
		for due += perTick; due >= 1; due-- {
			c.running.Go(c.request)
		}
	}
	c.running.Wait()
}

// refusalRequest is one request of a caller.
type refusalRequest struct {
	unsafe  bool
	method  string
	path    string
	body    []byte
	timeout time.Duration
	client  *http.Client
}

// request sends one request, and repeats it under another identity if the caller is impatient.
func (c *refusalCallers) request() {
	r := refusalRequest{method: http.MethodGet, path: lookUpPrefix + "x", timeout: c.options.Deadline, client: c.clients[rand.IntN(len(c.clients))]}
	if rand.Float64() < chargeShare {
		r.unsafe, r.method, r.path = true, http.MethodPost, chargePrefix+"x"
		r.body = bytes.Repeat([]byte("a"), bodySizes[rand.IntN(len(bodySizes))])
	}
	if rand.Float64() < shortShare {
		r.timeout = time.Duration(float64(c.options.Work) * (0.3 + 1.5*rand.Float64()))
	}
	repeats := 0
	if rand.Float64() < impatientShare {
		repeats = maxRepeats
	}
	for range 1 + repeats {
		instances := c.deployment.instances
		address := instances[rand.IntN(len(instances))].endpoints()
		if status := c.attempt(r, address); status >= 200 && status < 300 {
			return
		}
	}
}

// attempt sends a request under a new identity, and returns the status of the answer, or 0 if there is none.
func (c *refusalCallers) attempt(r refusalRequest, to endpoints) int {
	id := fmt.Sprintf("%s-%d", c.run, c.lastNumber.Add(1))
	roll := rand.Float64()
	switch {
	case roll < halfClosedShare:
		c.ledger.sent(id, to.incarnation, r.unsafe, "with the sending side closed")
		return c.record(id, func() (*http.Response, error) { return c.sendHalfClosed(r, id, to.caller) })
	case roll < halfClosedShare+goneShare:
		c.ledger.sent(id, to.incarnation, r.unsafe, "by a caller that leaves")
		patience := time.Duration(rand.Float64() * 1.5 * float64(c.options.Work))
		return c.record(id, func() (*http.Response, error) { return c.sendPlain(r, id, to.caller, patience) })
	}
	c.ledger.sent(id, to.incarnation, r.unsafe, r.timeout.String())
	return c.record(id, func() (*http.Response, error) { return c.sendPlain(r, id, to.caller, r.timeout+time.Second) })
}

// record reads the whole answer and records it.
func (c *refusalCallers) record(id string, send func() (*http.Response, error)) int {
	response, err := send()
	if err != nil {
		c.ledger.answered(id, 0, err.Error())
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case fake.IsResponseToOther(response.Header, id):
		c.ledger.answered(id, 0, "an answer to another request")
		c.ledger.broken("%s got the answer to another request", id)
		return 0
	case err != nil:
		c.ledger.answered(id, 0, "an answer that broke off: "+err.Error())
		return 0
	case response.StatusCode == http.StatusOK && !fake.IsCompleteResponse(response.Header, body, id):
		c.ledger.broken("%s got a success that is not its own whole answer", id)
	}
	c.ledger.answered(id, response.StatusCode, string(body[:min(len(body), 200)]))
	return response.StatusCode
}

// newRequest returns a request of the caller.
func (c *refusalCallers) newRequest(ctx context.Context, r refusalRequest, id, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	request.Host = requestHost
	request.Close = rand.Float64() < freshShare
	fake.SetRequestHeaders(request.Header, id, fmt.Sprint(rand.IntN(affinityKeys)), r.timeout)
	return request, nil
}

// sendPlain sends a request and waits for the head of the answer.
func (c *refusalCallers) sendPlain(r refusalRequest, id, address string, patience time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	request, err := c.newRequest(ctx, r, id, address)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = cancelOnClose{response.Body, cancel}
	return response, nil
}

// cancelOnClose cancels a request's context once its answer has been read.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// sendHalfClosed sends a request on a connection of its own, closes the sending side and waits for the answer.
func (c *refusalCallers) sendHalfClosed(r refusalRequest, id, address string) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	request, err := c.newRequest(context.Background(), r, id, address)
	if err != nil {
		conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(r.timeout + time.Second))
	err = request.Write(conn)
	if err == nil {
		err = conn.(*net.TCPConn).CloseWrite()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		conn.Close()
		return nil, err
	}
	response.Body = closeWith{response.Body, conn}
	return response, nil
}

// closeWith closes a connection with the body of the answer on it.
type closeWith struct {
	io.ReadCloser
	conn net.Conn
}

// Close closes the connection.
func (c closeWith) Close() error {
	return c.conn.Close()
}
