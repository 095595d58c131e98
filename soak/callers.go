package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lovageyard.example/lovageyard/platform/fake"
)

// Behaviour of callers.
const (
	requestPause   = 40 * time.Millisecond
	callerTimeout  = 4 * time.Second
	affinityKeys   = 40
	lookUpLifetime = time.Second
	probeInterval  = 400 * time.Millisecond
	probeTimeout   = 2 * time.Second
)

// callerPool is all callers of a run, and the prober of configuration versions. While burst is set, callers
// send up to 8 times as many requests.
type callerPool struct {
	deployment *deployment
	check      *checker
	run        string
	cancel     context.CancelFunc
	context    context.Context
	running    sync.WaitGroup
	lastNumber atomic.Int64
	burst      atomic.Bool
	// served and sent count the requests since ResetCounts.
	served, sent atomic.Int64
}

func newCallerPool(d *deployment, check *checker, run string, callers int) *callerPool {
	c := &callerPool{deployment: d, check: check, run: run}
	c.context, c.cancel = context.WithCancel(context.Background())
	for n := range callers {
		c.running.Go(func() { c.sendRequests(n) })
	}
	c.running.Go(c.probe)
	return c
}

// Close stops the callers and waits for the requests in flight.
func (c *callerPool) Close() {
	c.cancel()
	c.running.Wait()
}

// ResetCounts sets the counts of sent and served requests to 0.
func (c *callerPool) ResetCounts() {
	c.served.Store(0)
	c.sent.Store(0)
}

// sendRequests is the loop of one caller: it sends one request after the other over persistent connections,
// to instances from look-ups that it caches. A third of the requests are not idempotent.
func (c *callerPool) sendRequests(n int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	region := domains[n%len(domains)].region
	known := lookUpCache{region: region}
	for c.context.Err() == nil {
		if address := c.pickInstance(client, &known); address != "" {
			unsafe := rand.IntN(3) == 0
			c.request(client, permanentAccount(n), address, unsafe)
		}
		pause := requestPause
		if c.burst.Load() {
			pause /= 8
		}
		time.Sleep(pause)
	}
}

// lookUpCache is a caller's last look-up.
type lookUpCache struct {
	region     string
	addresses  []string
	lookedUpAt time.Time
}

// pickInstance returns the address of a random instance from the last look-up, which it repeats after lookUpLifetime,
// or "" if none has succeeded.
func (c *callerPool) pickInstance(client *http.Client, known *lookUpCache) string {
	if len(known.addresses) == 0 || time.Since(known.lookedUpAt) > lookUpLifetime {
		if found := c.lookUp(client, known.region); len(found) > 0 {
			known.addresses, known.lookedUpAt = found, time.Now()
			if c.deployment.heavy {
				c.check.CountHeavy(fmt.Sprintf("look-ups with %d addresses", len(found)))
			}
		}
	}
	if len(known.addresses) == 0 {
		return ""
	}
	return known.addresses[rand.IntN(len(known.addresses))]
}

// lookUp sends a look-up to a random instance and returns the addresses in the answer, nil if it failed.
func (c *callerPool) lookUp(client *http.Client, region string) []string {
	p := c.deployment.instances[rand.IntN(len(c.deployment.instances))].endpoints()
	ctx, cancel := context.WithTimeout(c.context, time.Second)
	defer cancel()
	target := fake.LookUpURL(p.lookUps, requestHost, region, region+"-1")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil
	}
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct{ Addresses []string }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// request sends one request and records its outcome.
func (c *callerPool) request(client *http.Client, account, address string, unsafe bool) {
	path, method, body := lookUpPrefix, http.MethodGet, ""
	if unsafe {
		path, method, body = chargePrefix, http.MethodPost, "amount"
	}
	c.sent.Add(1)
	o := c.sendAs(client, account, false, address, method, path+"x", body, unsafe, callerTimeout)
	c.check.RecordOutcome(o)
	if o.Status == http.StatusOK {
		c.served.Add(1)
	}
}

// send sends a request of a permanent account.
func (c *callerPool) send(client *http.Client, address, method, path, body string, unsafe bool, timeout time.Duration) outcome {
	return c.sendAs(client, permanentAccount(0), false, address, method, path, body, unsafe, timeout)
}

// sendAs sends a request of an account under a new request identity. revoked means that the account's key was
// revoked more than revokeBound before, so that the request must not run.
func (c *callerPool) sendAs(
	client *http.Client, account string, revoked bool, address, method, path, body string, unsafe bool, timeout time.Duration,
) outcome {
	o := c.begin(account, revoked, address, unsafe)
	// The timeout is independent of the run's context, so that the end of the run cancels no request.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var sent atomic.Bool
	request, err := c.newRequest(ctx, o, &sent, account, method, path, strings.NewReader(body), timeout)
	if err != nil {
		return o
	}
	response, err := client.Do(request)
	o.End, o.Sent = time.Now(), sent.Load()
	if err != nil {
		// A request that exceeded the caller's timeout does not count as cut.
		o.Sent = o.Sent && ctx.Err() == nil
		return o
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	o.Status = response.StatusCode
	o.Complete = err == nil
	o.Matches = fake.IsCompleteResponse(response.Header, got, o.ID)
	o.Foreign = fake.IsResponseToOther(response.Header, o.ID)
	return o
}

// begin records a request of an account under a new request identity, and returns its outcome before it is sent.
func (c *callerPool) begin(account string, revoked bool, address string, unsafe bool) outcome {
	id := fmt.Sprintf("%s-%d", c.run, c.lastNumber.Add(1))
	c.check.RecordSend(id, address, unsafe)
	if !c.deployment.withoutAccounts {
		c.check.RecordAccount(id, sentAccount{name: account, revoked: revoked})
	}
	return outcome{ID: id, Instance: address, Start: time.Now()}
}

// newRequest returns the request of an outcome. sent is set once the request is written, which may be after its response
// has arrived.
func (c *callerPool) newRequest(
	ctx context.Context, o outcome, sent *atomic.Bool, account, method, path string, body io.Reader, timeout time.Duration,
) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.Instance+path, body)
	if err != nil {
		return nil, err
	}
	request.Host = requestHost
	fake.SetRequestHeaders(request.Header, o.ID, fmt.Sprint(rand.IntN(affinityKeys)), timeout)
	c.deployment.setKey(request.Header, account)
	return request, nil
}

// probe sends requests to each instance on the route that only the newest version of the configuration has,
// and on the one that only the previous version had.
func (c *callerPool) probe() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	previous := uint64(0)
	version, accepted := c.deployment.currentVersion()
	for c.context.Err() == nil {
		if now, at := c.deployment.currentVersion(); now != version {
			previous, version, accepted = version, now, at
		}
		var probing sync.WaitGroup
		for _, i := range c.deployment.instances {
			p := i.endpoints()
			probing.Go(func() {
				c.probeRevoked(client, p.caller, previous, accepted)
				for _, v := range []uint64{version, previous} {
					o := c.send(client, p.caller, http.MethodGet, fmt.Sprintf(versionPrefix, v), "", false, probeTimeout)
					c.check.RecordOutcome(o)
					if i.endpoints().incarnation == p.incarnation && (v == version || o.Status == http.StatusOK) {
						c.check.RecordProbe(p.incarnation, v, o.Status, accepted)
					}
				}
			})
		}
		probing.Wait()
		time.Sleep(probeInterval)
	}
}
