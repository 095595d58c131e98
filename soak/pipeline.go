package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// pipelined names requests in the counts of CountHeavy.
	pipelined = "pipelined"
	// maxPipelined is the largest number of requests sent at once; instances process 8 ahead of the first.
	maxPipelined = 12
	batches      = 10
	// pipelinedBytes is the size of half of the responses. Many requests of a batch have the same target, so that
	// instances cannot tell from it that responses are mixed up.
	pipelinedBytes = 5000
)

// pipelineRequests is the loop of a caller that sends several GET requests at once on a connection.
func (c *callerPool) pipelineRequests(n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	known := lookUpCache{region: domains[n/3%len(domains)].region}
	for c.context.Err() == nil {
		if address := c.pickInstance(client, &known); address != "" {
			c.pipelineTo(address, permanentAccount(n))
		}
		time.Sleep(requestPause)
	}
}

// pipelineTo sends batches of requests on one connection until it closes.
func (c *callerPool) pipelineTo(address, account string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; n < batches && c.context.Err() == nil && c.sendBatch(conn, reader, address, account); n++ {
		time.Sleep(2 * requestPause)
	}
}

// pipelinedRequest is a request of a batch and the size of its answer.
type pipelinedRequest struct {
	outcome
	request *http.Request
	bytes   int
}

// sendBatch sends 2 to maxPipelined requests at once and reads the responses in the order of the requests. It reports
// whether the connection can be used again.
func (c *callerPool) sendBatch(conn net.Conn, reader *bufio.Reader, address, account string) bool {
	if conn.SetDeadline(time.Now().Add(callerTimeout)) != nil {
		return false
	}
	var text bytes.Buffer
	var batch []*pipelinedRequest
	for range 2 + rand.IntN(maxPipelined-1) {
		p := &pipelinedRequest{outcome: c.begin(account, false, address, false), bytes: rand.IntN(2) * pipelinedBytes}
		var written atomic.Bool
		var err error
		p.request, err = c.newRequest(context.Background(), p.outcome, &written, account, http.MethodGet, fmt.Sprintf("%sx?bytes=%d", lookUpPrefix, p.bytes), nil, callerTimeout)
		if err != nil || p.request.Write(&text) != nil {
			return false
		}
		batch = append(batch, p)
	}
	_, err := conn.Write(text.Bytes())
	open := err == nil
	for n, p := range batch {
		p.Sent = open
		if open {
			open = c.readPipelined(reader, p, n == 0)
		}
		p.End = time.Now()
		c.check.RecordOutcome(p.outcome)
		if p.Status == http.StatusOK {
			c.check.CountHeavy(pipelined)
		}
	}
	return open
}

// readPipelined reads the response to a request, and reports whether further ones may follow. A request behind others
// counts as not read by an instance that shuts down, which closes the connection after the response in progress.
func (c *callerPool) readPipelined(reader *bufio.Reader, p *pipelinedRequest, first bool) bool {
	response, err := http.ReadResponse(reader, p.request)
	if err != nil {
		p.Sent = !errors.Is(err, os.ErrDeadlineExceeded) && (first || c.deployment.isServing(p.Instance))
		return false
	}
	c.readLarge(response, &p.outcome, p.bytes, 0)
	return p.Complete && !response.Close
}
