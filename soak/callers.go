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

// Habits of callers.
const (
	callerPause   = 40 * time.Millisecond
	callerTimeout = 4 * time.Second
	callerKeys    = 40
	lookUpKeep    = time.Second
	probeEvery    = 400 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

// crowd is all callers of a run.
type crowd struct {
	yard    *yard
	check   *checker
	run     string
	cancel  context.CancelFunc
	context context.Context
	calling sync.WaitGroup
	numbers atomic.Int64
	busy    atomic.Bool
	// served and sent count the requests since Mark.
	served, sent atomic.Int64
}

func newCrowd(y *yard, check *checker, run string, callers int) *crowd {
	c := &crowd{yard: y, check: check, run: run}
	c.context, c.cancel = context.WithCancel(context.Background())
	for n := range callers {
		c.calling.Go(func() { c.call(n) })
	}
	c.calling.Go(c.probe)
	return c
}

// Close ends the callers and waits for their requests.
func (c *crowd) Close() {
	c.cancel()
	c.calling.Wait()
}

// Mark begins to count anew.
func (c *crowd) Mark() {
	c.served.Store(0)
	c.sent.Store(0)
}

// call sends one request after the other, over connections that it keeps.
func (c *crowd) call(n int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	region := domains[n%len(domains)].region
	var addresses []string
	var learned time.Time
	for c.context.Err() == nil {
		if len(addresses) == 0 || time.Since(learned) > lookUpKeep {
			if found := c.lookUp(client, region); len(found) > 0 {
				addresses, learned = found, time.Now()
			}
		}
		if len(addresses) > 0 {
			unsafe := rand.IntN(3) == 0
			c.request(client, lastingAccount(n), addresses[rand.IntN(len(addresses))], unsafe)
		}
		pause := callerPause
		if c.busy.Load() {
			pause /= 8
		}
		time.Sleep(pause)
	}
}

// lookUp asks any instance where to connect.
func (c *crowd) lookUp(client *http.Client, region string) []string {
	p := c.yard.instances[rand.IntN(len(c.yard.instances))].place()
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

// request sends one request and tells the checker how it ended.
func (c *crowd) request(client *http.Client, account, address string, unsafe bool) {
	path, method, body := lookUpPrefix, http.MethodGet, ""
	if unsafe {
		path, method, body = chargePrefix, http.MethodPost, "amount"
	}
	c.sent.Add(1)
	o := c.sendAs(client, account, false, address, method, path+"x", body, unsafe, callerTimeout)
	c.check.Ended(o)
	if o.Status == http.StatusOK {
		c.served.Add(1)
	}
}

// send sends a request of a lasting account.
func (c *crowd) send(client *http.Client, address, method, path, body string, unsafe bool, timeout time.Duration) outcome {
	return c.sendAs(client, lastingAccount(0), false, address, method, path, body, unsafe, timeout)
}

// sendAs sends a request of an account, with an identity of its own; taken says that the account's key may run
// nothing any more.
func (c *crowd) sendAs(
	client *http.Client, account string, taken bool, address, method, path, body string, unsafe bool, timeout time.Duration,
) outcome {
	id := fmt.Sprintf("%s-%d", c.run, c.numbers.Add(1))
	c.check.Send(id, address, unsafe)
	if !c.yard.without {
		c.check.SendAs(id, sentAs{name: account, taken: taken})
	}
	o := outcome{ID: id, Instance: address, Began: time.Now()}
	// The callers' deadline goes on when the run ends, so that no request is given up early.
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { o.Sent = info.Err == nil },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return o
	}
	request.Host = requestHost
	fake.SetRequestHeaders(request.Header, id, fmt.Sprint(rand.IntN(callerKeys)), timeout)
	c.yard.setKey(request.Header, account)
	response, err := client.Do(request)
	o.At = time.Now()
	if err != nil {
		// A caller that gave up was not cut.
		o.Sent = o.Sent && ctx.Err() == nil
		return o
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	o.Status = response.StatusCode
	o.Whole = err == nil
	o.Own = fake.IsCompleteResponse(response.Header, got, id)
	return o
}

// probe asks each instance for the route that only the newest configuration has, and for
// the one that only the version before had.
func (c *crowd) probe() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	before := uint64(0)
	version, accepted := c.yard.versions()
	for c.context.Err() == nil {
		if now, at := c.yard.versions(); now != version {
			before, version, accepted = version, now, at
		}
		var probing sync.WaitGroup
		for _, i := range c.yard.instances {
			p := i.place()
			probing.Go(func() {
				c.probeTaken(client, p.caller, before, accepted)
				for _, v := range []uint64{version, before} {
					o := c.send(client, p.caller, http.MethodGet, fmt.Sprintf(versionPrefix, v), "", false, probeTimeout)
					c.check.Ended(o)
					if i.place().life == p.life && (v == version || o.Status == http.StatusOK) {
						c.check.Probed(p.life, v, o.Status, accepted)
					}
				}
			})
		}
		probing.Wait()
		time.Sleep(probeEvery)
	}
}
