package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/caller"
)

// hashHeader carries the hash of the whole answer.
const hashHeader = "Lovageyard-Content-Hash"

// client is one caller: it keeps look-ups' answers for as long as it is told.
type client struct {
	address netip.Addr
	home    string
	http    *http.Client
	seeds   []string

	mu     sync.Mutex
	cached map[string]cachedLookUp
}

type cachedLookUp struct {
	answer caller.LookUp
	until  time.Time
}

func newClient(address netip.Addr, home string, seeds []string, timeout time.Duration) *client {
	dialer := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: &net.TCPAddr{IP: address.AsSlice()},
	}
	return &client{
		address: address,
		home:    home,
		seeds:   seeds,
		http: &http.Client{
			Timeout:   timeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute},
		},
		cached: make(map[string]cachedLookUp),
	}
}

// entries returns the caller addresses to use for a class, best first.
func (c *client) entries(ctx context.Context, class string) ([]string, error) {
	c.mu.Lock()
	known, found := c.cached[class]
	c.mu.Unlock()
	if !found || time.Now().After(known.until) {
		fresh, err := c.lookUp(ctx, class, known.answer)
		if err != nil && !found {
			return nil, err
		}
		if err == nil {
			known = cachedLookUp{answer: fresh, until: time.Now().Add(time.Duration(fresh.KeepForMs) * time.Millisecond)}
			c.mu.Lock()
			c.cached[class] = known
			c.mu.Unlock()
		}
	}
	var addresses []string
	for _, i := range known.answer.Instances {
		addresses = append(addresses, i.Address)
	}
	if len(addresses) == 0 {
		return nil, errors.New("the look-up named no instance")
	}
	return addresses, nil
}

// lookUp asks the instances of the last answer, then the seeds.
func (c *client) lookUp(ctx context.Context, class string, last caller.LookUp) (caller.LookUp, error) {
	var ask []string
	for _, i := range last.Instances {
		ask = append(ask, i.Address)
	}
	start := int(c.address.As4()[2])
	for i := range c.seeds {
		ask = append(ask, c.seeds[(start+i)%len(c.seeds)])
	}
	var failure error
	for _, address := range ask {
		answer, err := c.lookUpAt(ctx, address, class)
		if err == nil {
			return answer, nil
		}
		failure = err
	}
	return caller.LookUp{}, errors.Wrap(failure, "look-up")
}

func (c *client) lookUpAt(ctx context.Context, address, class string) (caller.LookUp, error) {
	var answer caller.LookUp
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/look-up?class="+url.QueryEscape(class), nil)
	if err != nil {
		return answer, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("look-up answered %d", response.StatusCode)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// send sends one request and judges the answer. A request that could not reach the
// first instance goes to the next one.
func (c *client) send(ctx context.Context, s stream, number int64) outcome {
	entries, err := c.entries(ctx, s.class)
	if err != nil {
		return outcome{cause: causeLookUp}
	}
	var o outcome
	for _, address := range entries {
		o = c.sendTo(ctx, address, s, number)
		if o.cause != causeDial {
			return o
		}
	}
	return o
}

func (c *client) sendTo(ctx context.Context, address string, s stream, number int64) outcome {
	var body io.Reader
	if s.method != http.MethodGet {
		body = strings.NewReader(fmt.Sprintf("{\"number\":%d}", number))
	}
	target := fmt.Sprintf("http://%s%s%d?bytes=%d", address, s.path, number, s.bytes)
	request, err := http.NewRequestWithContext(ctx, s.method, target, body)
	if err != nil {
		return outcome{cause: causeCut}
	}
	if s.method != http.MethodGet {
		request.Header.Set("Idempotency-Key", c.address.String()+"-"+strconv.FormatInt(number, 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return outcome{cause: causeOf(err)}
	}
	defer response.Body.Close()
	return judge(response)
}

func causeOf(err error) cause {
	var failure *net.OpError
	if errors.As(err, &failure) && failure.Op == "dial" {
		return causeDial
	}
	return causeCut
}

// judge reads an answer and checks that it is whole.
func judge(response *http.Response) outcome {
	o := outcome{
		status:  response.StatusCode,
		verdict: lovageyard.Verdict(response.Header.Get(lovageyard.VerdictHeader)),
		site:    response.Header.Get(lovageyard.SiteHeader),
	}
	digest := xxhash.New()
	if _, err := io.Copy(digest, response.Body); err != nil {
		o.cause = causeCut
		return o
	}
	if o.status != http.StatusOK {
		o.cause = causeRefused
		return o
	}
	if strconv.FormatUint(digest.Sum64(), 16) != response.Header.Get(hashHeader) {
		o.cause = causeBroken
		return o
	}
	o.cause = causeWhole
	return o
}
