package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests as the users' page says: they ask a directory where to connect, keep connections, and retry
// a refused request once with an id of its own.
type clients struct {
	record    *record
	instances []*instance
	zone      [2]string

	mu        sync.Mutex
	addresses []string
	// idle holds the idle connections by address.
	idle map[string][]*conn
}

func newClients(rec *record, instances []*instance, zone [2]string) *clients {
	return &clients{record: rec, instances: instances, zone: zone, idle: make(map[string][]*conn)}
}

// lookUp asks up to three directories where to connect.
func (c *clients) lookUp() {
	for _, i := range rand.Perm(len(c.instances))[:min(3, len(c.instances))] {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		query := url.Values{"Name": {host}, "Region": {c.zone[1]}, "Zone": {c.zone[0]}}
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.instances[i].lookUp+"/lookup?"+query.Encode(), nil)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			cancel()
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		cancel()
		if err == nil && response.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			c.mu.Lock()
			c.addresses = answer.Addresses
			c.mu.Unlock()
			return
		}
	}
}

func (c *clients) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// kind is one kind of request.
type kind struct {
	name, method, path string
	deadline           time.Duration
	objects            int
	bodyBytes          int
	idempotent         bool
}

var nextID atomic.Int64

// send sends a request, and once more after a promise that it has not run.
func (c *clients) send(k kind) {
	object := rand.IntN(k.objects)
	until := time.Now().Add(k.deadline)
	before := ""
	for range 2 {
		id := fmt.Sprintf("%s-%d", k.name, nextID.Add(1))
		if before != "" {
			c.record.add("client: %s repeats %s", id, before)
			judge.repeated(before, id)
		}
		wait, again := c.attempt(k, id, object, time.Until(until))
		if !again || time.Until(until) < wait+50*time.Millisecond {
			return
		}
		before = id
		time.Sleep(wait)
	}
}

// conn is one connection of a client to an instance. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// kept is set once the connection has carried a request.
	kept bool
	// keepUntil is until when the connection may be used again.
	keepUntil time.Time
}

// take returns a kept connection to an address, or a new one.
func (c *clients) take(address string) (*conn, error) {
	c.mu.Lock()
	for {
		list := c.idle[address]
		if len(list) == 0 {
			break
		}
		found := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		if time.Now().Before(found.keepUntil) && found.isOpen() {
			c.mu.Unlock()
			return found, nil
		}
		found.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// isOpen reports whether an idle connection is still open, as far as the client can see.
func (c *conn) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	failure, ok := err.(net.Error)
	return ok && failure.Timeout()
}

// maxIdle is how long clients keep a connection: four fifths of IdleTimeoutMs.
const maxIdle = 12 * time.Second

func (c *clients) keep(address string, k *conn) {
	k.kept = true
	k.keepUntil = time.Now().Add(maxIdle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], k)
}

// attempt makes one client attempt, with its own id. It returns whether and after what time to retry.
func (c *clients) attempt(k kind, id string, object int, left time.Duration) (time.Duration, bool) {
	address := c.address()
	if address == "" {
		return 0, false
	}
	connection, err := c.take(address)
	if err != nil {
		c.record.add("client: %s no connection to %s: %v", id, address, err)
		return 0, true
	}
	_ = connection.SetDeadline(time.Now().Add(left))
	r, _ := http.NewRequest(k.method, "http://"+address+k.path+strconv.Itoa(object), bytes.NewReader(bytes.Repeat([]byte{'b'}, k.bodyBytes)))
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Affinity-Key", strconv.Itoa(object))
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	kept := connection.kept
	c.record.add("client: %s sent, kept connection %v", id, kept)
	response, err := connection.exchange(r)
	if err != nil {
		connection.Close()
		c.record.add("client: %s no complete answer: %v", id, err)
		failure, isTimeout := err.(net.Error)
		judge.unanswered(id, kept, isTimeout && failure.Timeout())
		return 0, k.idempotent
	}
	if response.Close {
		connection.Close()
	} else {
		c.keep(address, connection)
	}
	c.record.add("client: %s answered %d", id, response.StatusCode)
	judge.answered(id, k, response.StatusCode)
	wait, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	promised := response.StatusCode == 429 || response.StatusCode == 503 || response.StatusCode == 408 || response.StatusCode == 421
	return min(time.Duration(wait*float64(time.Second)), left/3), promised || k.idempotent && response.StatusCode >= 500
}

// exchange sends a request and reads the whole answer.
func (c *conn) exchange(r *http.Request) (*http.Response, error) {
	if err := r.Write(c); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// run sends requests of a kind at a rate until the context ends, and waits for their answers.
func (c *clients) run(ctx context.Context, k kind, perSecond float64) {
	var open sync.WaitGroup
	defer open.Wait()
	looked := time.Time{}
	for ctx.Err() == nil {
		if time.Since(looked) > 2*time.Second {
			looked = time.Now()
			c.lookUp()
		}
		open.Go(func() { c.send(k) })
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
}
