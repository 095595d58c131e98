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

// hashHeader is the header in which servers send the xxHash of the whole body.
const hashHeader = "Lovageyard-Content-Hash"

// client is one simulated caller, with a source address of its own. It caches the answer to a look-up for
// the time that the answer allows, and longer while new look-ups fail.
type client struct {
	address netip.Addr
	network string
	http    *http.Client
	// lookUpAddresses are the configured addresses for look-ups.
	lookUpAddresses []string

	mu     sync.Mutex
	cached map[string]cachedLookUp
}

type cachedLookUp struct {
	answer  caller.LookUp
	expires time.Time
}

func newClient(address netip.Addr, network string, lookUpAddresses []string, timeout time.Duration) *client {
	dialer := &net.Dialer{
		Timeout:   timeout,
		LocalAddr: &net.TCPAddr{IP: address.AsSlice()},
	}
	return &client{
		address:         address,
		network:         network,
		lookUpAddresses: lookUpAddresses,
		http: &http.Client{
			Timeout:   timeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute},
		},
		cached: make(map[string]cachedLookUp),
	}
}

// entries returns the addresses of the entry instances for a class, in order of preference.
func (c *client) entries(ctx context.Context, class string) ([]string, error) {
	c.mu.Lock()
	known, found := c.cached[class]
	c.mu.Unlock()
	if !found || time.Now().After(known.expires) {
		fresh, err := c.lookUp(ctx, class, known.answer)
		if err != nil && !found {
			return nil, err
		}
		if err == nil {
			known = cachedLookUp{answer: fresh, expires: time.Now().Add(time.Duration(fresh.KeepForMs) * time.Millisecond)}
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

// lookUp sends a look-up to the instances of the last answer, then to lookUpAddresses, until one answers.
// Clients start at different ones of lookUpAddresses, so that their look-ups spread.
func (c *client) lookUp(ctx context.Context, class string, last caller.LookUp) (caller.LookUp, error) {
	var addresses []string
	for _, i := range last.Instances {
		addresses = append(addresses, i.Address)
	}
	start := int(c.address.As4()[2])
	for i := range c.lookUpAddresses {
		addresses = append(addresses, c.lookUpAddresses[(start+i)%len(c.lookUpAddresses)])
	}
	var failure error
	for _, address := range addresses {
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

// send sends one request and checks the answer. If no connection to an instance can be opened, the next one
// is tried.
func (c *client) send(ctx context.Context, s stream, number int64) outcome {
	entries, err := c.entries(ctx, s.class)
	if err != nil {
		return outcome{category: categoryNoLookUp}
	}
	var result outcome
	for _, address := range entries {
		result = c.sendTo(ctx, address, s, number)
		if result.category != categoryNoConnection {
			return result
		}
	}
	return result
}

func (c *client) sendTo(ctx context.Context, address string, s stream, number int64) outcome {
	var body io.Reader
	if s.method != http.MethodGet {
		body = strings.NewReader(fmt.Sprintf("{\"number\":%d}", number))
	}
	target := fmt.Sprintf("http://%s%s%d?bytes=%d", address, s.path, number, s.bytes)
	request, err := http.NewRequestWithContext(ctx, s.method, target, body)
	if err != nil {
		return outcome{category: categoryCut}
	}
	if s.method != http.MethodGet {
		request.Header.Set("Idempotency-Key", c.address.String()+"-"+strconv.FormatInt(number, 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return outcome{category: categoryOf(err)}
	}
	defer response.Body.Close()
	return checkAnswer(response)
}

func categoryOf(err error) category {
	var failure *net.OpError
	if errors.As(err, &failure) && failure.Op == "dial" {
		return categoryNoConnection
	}
	return categoryCut
}

// checkAnswer reads an answer and verifies its hash.
func checkAnswer(response *http.Response) outcome {
	o := outcome{
		status:  response.StatusCode,
		verdict: lovageyard.Verdict(response.Header.Get(lovageyard.VerdictHeader)),
		site:    response.Header.Get(lovageyard.SiteHeader),
	}
	digest := xxhash.New()
	if _, err := io.Copy(digest, response.Body); err != nil {
		o.category = categoryCut
		return o
	}
	if o.status != http.StatusOK {
		o.category = categoryRefused
		return o
	}
	if strconv.FormatUint(digest.Sum64(), 16) != response.Header.Get(hashHeader) {
		o.category = categoryCorrupt
		return o
	}
	o.category = categoryComplete
	return o
}
