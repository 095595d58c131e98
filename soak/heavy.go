package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

const (
	heavyStream     = 6
	minHeavyCallers = 6
	uploadPrefix    = "/upload/"
	downloadPrefix  = "/download/"
	heavyTimeout    = 12 * time.Second
	// minBodyRate is the instances' setting in bytes a second. Slow callers transfer bodies faster than that, and
	// stalled ones so much slower that the instance must end the transfer within stalledBound.
	minBodyRate  = 20_000
	slowRate     = 150_000
	stalledRate  = 10_000
	stalledBound = 10 * time.Second
	// readerBuffer is the receive buffer of slow readers in bytes. A reader is told of a reset only after it has read what
	// is in its buffer.
	readerBuffer = 8 << 10
	// pacedStep is the time between two reads of a slow body.
	pacedStep = 50 * time.Millisecond
	// Sizes of bodies. Stalled uploads have the largest size, and stalled downloads one beyond what the kernel buffers on
	// the loopback link: an instance leaves alone what it has completely written.
	maxUpload       = 360_000
	maxDownload     = 540_000
	stalledDownload = 6_000_000
	// Servers are slow for slowTicks of paceInterval at a time, and begin with a probability of slowStart in each.
	paceInterval = 100 * time.Millisecond
	slowTicks    = 6
	slowStart    = 0.03
	slowPace     = 250
	// wideInstances is the number of instances with wide links, two in each region. From four instances of a region on,
	// look-ups return fewer than all.
	wideInstances = 4
)

// heavySettings returns the further settings of an instance in a run with large bodies.
func heavySettings(n int) []string {
	link, cores, memory := 40, 0.8, 32
	if n < wideInstances {
		link, cores, memory = 200, 1.5, 64
	}
	return []string{
		"--link-mbps", fmt.Sprint(link), "--cpu-quota", fmt.Sprint(cores), "--memory-mb", fmt.Sprint(memory), "--min-body-rate", fmt.Sprint(minBodyRate),
	}
}

// heavyRoutes returns the routes with large bodies, which are less urgent than the others.
func heavyRoutes(route func(name, prefix string, idempotent bool) lovageyard.Route) []lovageyard.Route {
	upload, download := route("upload", uploadPrefix, false), route("download", downloadPrefix, true)
	upload.LargeRequests, download.LargeResponses = true, true
	for _, r := range []*lovageyard.Route{&upload, &download} {
		r.Rank, r.Timeout = 2, heavyTimeout
	}
	return []lovageyard.Route{upload, download}
}

// changePaces changes the pace of all servers until the context is cancelled.
func (d *deployment) changePaces(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, heavyStream))
	slowLeft := make(map[string]int)
	for ctx.Err() == nil {
		d.mu.Lock()
		for _, b := range d.servers {
			pace := 90 + random.IntN(20)
			if slowLeft[b.Name]--; slowLeft[b.Name] < 0 && random.Float64() < slowStart {
				slowLeft[b.Name] = slowTicks
			}
			if slowLeft[b.Name] > 0 {
				pace = slowPace
			}
			b.SetPace(pace)
		}
		d.mu.Unlock()
		time.Sleep(paceInterval)
	}
}

// isServing reports whether an instance listens at an address and was not told to exit.
func (d *deployment) isServing(address string) bool {
	for _, i := range d.instances {
		if i.serves(address) {
			return true
		}
	}
	return false
}

// StartHeavy starts callers with large bodies and callers that pipeline, and the changes of the servers' pace.
func (c *callerPool) StartHeavy(seed uint64, callers int) {
	c.running.Go(func() { c.deployment.changePaces(c.context, seed) })
	for n := range callers {
		c.running.Go(func() {
			if n%3 == 2 {
				c.pipelineRequests(n)
				return
			}
			c.transferBodies(n)
		})
	}
}

// bodyTransfer is a request with a large body, or for a large response. The caller sends or reads rate bytes a second,
// or as fast as it can if rate is 0.
type bodyTransfer struct {
	upload bool
	bytes  int
	rate   int
}

// transferBodies is the loop of a caller with large bodies. Half of the callers are slow, and stall every fourth body.
func (c *callerPool) transferBodies(n int) {
	slow := n%6 > 2
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	if slow {
		transport.DialContext = dialWithSmallBuffer
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	known := lookUpCache{region: domains[n/3%len(domains)].region}
	for c.context.Err() == nil {
		t := bodyTransfer{upload: n%3 == 0, bytes: maxDownload}
		if t.upload {
			t.bytes = maxUpload
		}
		switch {
		case slow && rand.IntN(4) == 0:
			t.rate = stalledRate
			if !t.upload {
				t.bytes = stalledDownload
			}
		case slow:
			t.rate = slowRate
			fallthrough
		default:
			t.bytes = t.bytes/9 + rand.IntN(t.bytes*8/9)
		}
		if address := c.pickInstance(client, &known); address != "" {
			c.transfer(client, permanentAccount(n), address, t)
		}
		time.Sleep(2 * requestPause)
	}
}

func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	// The buffer is set before the connection is established, as the first window would exceed it otherwise.
	dialer := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		var setErr error
		err := conn.Control(func(descriptor uintptr) {
			setErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readerBuffer)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	return dialer.DialContext(ctx, network, address)
}

// pacedReader reads at most rate bytes a second, or without a limit if rate is 0.
type pacedReader struct {
	io.Reader
	rate int
}

func (p pacedReader) Read(b []byte) (int, error) {
	if p.rate == 0 {
		return p.Reader.Read(b)
	}
	time.Sleep(pacedStep)
	step := p.rate / int(time.Second/pacedStep)
	return p.Reader.Read(b[:min(len(b), step)])
}

// transfer sends a request with a large body, or for one, and records its outcome.
func (c *callerPool) transfer(client *http.Client, account, address string, t bodyTransfer) {
	o := c.begin(account, false, address, t.upload)
	o.Large, o.Stalled = true, t.rate == stalledRate
	ctx, cancel := context.WithTimeout(context.Background(), heavyTimeout)
	defer cancel()
	method, path, text, responseBytes := http.MethodGet, fmt.Sprintf("%sx?bytes=%d", downloadPrefix, t.bytes), "", t.bytes
	if t.upload {
		method, path, text, responseBytes = http.MethodPost, uploadPrefix+"x", fake.LargeBody(o.ID, t.bytes), 0
		c.check.RecordUpload(o.ID, t.bytes)
	}
	// A body of a type that net/http does not know is read as it is sent.
	var sent atomic.Bool
	request, err := c.newRequest(ctx, o, &sent, account, method, path, pacedReader{strings.NewReader(text), t.rate}, heavyTimeout)
	if err != nil {
		return
	}
	request.ContentLength = int64(len(text))
	if !t.upload {
		request.Body = http.NoBody
	}
	transferStart := o.Start
	response, err := client.Do(request)
	if err == nil {
		if !t.upload {
			transferStart = time.Now()
		}
		c.readLarge(response, &o, responseBytes, t.rate)
	}
	o.End = time.Now()
	o.Sent = sent.Load() && ctx.Err() == nil
	c.check.RecordOutcome(o)
	if o.Stalled {
		c.check.RecordStalled(o, transferStart)
		return
	}
	// Transfers count when they end, as slow ones would count as lost in the short time after the faults.
	c.sent.Add(1)
	if o.Status == http.StatusOK && o.Complete {
		c.served.Add(1)
		c.check.CountHeavy(path[:strings.IndexByte(path, 'x')])
	}
}

// readLarge reads a response of a number of bytes into an outcome.
func (c *callerPool) readLarge(response *http.Response, o *outcome, responseBytes, rate int) {
	defer response.Body.Close()
	got, err := io.ReadAll(pacedReader{response.Body, rate})
	o.Status, o.Complete = response.StatusCode, err == nil
	o.Foreign = fake.IsResponseToOther(response.Header, o.ID)
	o.Matches = fake.IsCompleteLargeResponse(response.Header, got, o.ID, responseBytes)
	if o.Large && !o.Complete {
		o.Matches = bytes.HasPrefix([]byte(fake.LargeBody(o.ID, responseBytes)), got)
	}
}

// RecordUpload records the size of the body that a caller sends with a request.
func (c *checker) RecordUpload(id string, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploads[id] = size
}

// BodyReceived checks that a server gets the whole body that the caller sent with an upload.
func (c *checker) BodyReceived(server, id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, known := c.uploads[id]
	if !known {
		return
	}
	c.counts["checked bodies of uploads"]++
	if string(body) != fake.LargeBody(id, size) {
		c.violationf("server %s got %s with a body of %d bytes that is not the caller's", server, id, len(body))
	}
}

// mayEndHalfway reports whether a large answer may be incomplete: what was read is the request's own, and the caller
// was too slow or a fault affected the instance. The caller holds the lock.
func (c *checker) mayEndHalfway(o outcome) bool {
	if !o.Large || o.Complete || !o.Matches {
		return false
	}
	return o.Stalled || !c.isUnaffected("incomplete large answers", o.Start.Add(-quietPeriod), o.End, affectsInstance(c.nameOf[o.Instance]))
}

// RecordStalled checks that an instance has ended a transfer that is slower than minBodyRate.
func (c *checker) RecordStalled(o outcome, start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	checked := c.isUnaffected("stalled transfers", o.Start.Add(-quietPeriod), o.End, affectsInstance(c.nameOf[o.Instance]))
	if checked && o.End.Sub(start) > stalledBound {
		c.violationf("%s, which transferred less than %d bytes/s, was not ended by %s within %s", o.ID, minBodyRate, o.Instance, stalledBound)
	}
}

// CountHeavy counts a request of a kind that runs with large bodies must serve.
func (c *checker) CountHeavy(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["served "+what]++
}

// CheckHeavy checks that uploads, downloads and pipelined requests were served.
func (c *checker) CheckHeavy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, what := range []string{uploadPrefix, downloadPrefix, pipelined} {
		if c.counts["served "+what] == 0 {
			c.violationf("no request was served as %s", what)
		}
	}
}
