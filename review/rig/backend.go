package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// service describes one service of the deployment.
type service struct {
	name  string
	slots int
	work  time.Duration
}

// backend is a stand-in of a server. It runs slots requests at a time and queues twice as many more.
type backend struct {
	service
	id, zone, address string
	record            *record
	listener          net.Listener
	slotsFree         chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	conns   map[net.Conn]bool
	// shed is the share of the requests that are rejected although there is room.
	shed float64
	// extra is the share of the answers that are followed by a second one, late.
	extra float64
	// junk is the share of the requests that are answered with bytes that are no answer.
	junk float64
}

func startBackend(s service, id, zone string, rec *record) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		service: s, id: id, zone: zone, address: l.Addr().String(), record: rec, listener: l,
		slotsFree: make(chan struct{}, s.slots), conns: make(map[net.Conn]bool),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// entry is the server's entry in the store.
func (b *backend) entry(sequence int) map[string]any {
	return map[string]any{
		"Addr":   b.address,
		"Info":   map[string]any{"Service": b.name, "Version": "v1", "Zone": b.zone, "Slots": b.slots},
		"Status": map[string]any{"State": "ready", "Sequence": sequence, "ColdLeftMs": 0},
	}
}

// set changes how the server misbehaves.
func (b *backend) set(change func(b *backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
}

func (b *backend) chance(share func(b *backend) float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rand.Float64() < share(b)
}

// serve serves one connection, one request at a time.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	// late is a second answer that is still to come.
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		if late != nil {
			b.record.add("server %s: a second answer, late", b.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		id := r.Header.Get("X-Request-Id")
		answer := b.answer(c, r, id)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if id != "" && b.chance(func(b *backend) float64 { return b.extra }) {
			late = answer
		}
	}
}

// answer runs or rejects a request and returns the bytes of the answer, or nil if the connection ends.
func (b *backend) answer(c net.Conn, r *http.Request, id string) []byte {
	switch {
	case r.URL.Path == "/healthz" && id == "":
		return b.bytes(http.StatusOK, "X-Instance-Id: "+b.id+"\r\n", "ok")
	case id == "":
		return b.bytes(http.StatusBadRequest, "X-Not-Run: 1\r\n", "")
	}
	echo := "X-Request-Id: " + id + "\r\n"
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		b.record.add("server %s: %s 421, not run", b.id, id)
		return b.bytes(http.StatusMisdirectedRequest, echo+"X-Instance-Id: "+b.id+"\r\n", "")
	}
	if b.chance(func(b *backend) float64 { return b.junk }) {
		b.record.add("server %s: %s is answered with bytes that are no answer", b.id, id)
		b.sendJunk(c)
		return nil
	}
	if b.chance(func(b *backend) float64 { return b.shed }) {
		b.record.add("server %s: %s 503, not run", b.id, id)
		return b.bytes(http.StatusServiceUnavailable, echo+"X-Not-Run: 1\r\n", "")
	}
	b.mu.Lock()
	if b.waiting >= 2*b.slots {
		b.mu.Unlock()
		b.record.add("server %s: %s 503, not run: full", b.id, id)
		return b.bytes(http.StatusServiceUnavailable, echo+"X-Not-Run: 1\r\n", "")
	}
	b.waiting++
	b.mu.Unlock()
	left := deadline(r)
	timeout := time.NewTimer(left)
	defer timeout.Stop()
	arrived := time.Now()
	select {
	case b.slotsFree <- struct{}{}:
	case <-timeout.C:
		b.set(func(b *backend) { b.waiting-- })
		b.record.add("server %s: %s 503, not run: its deadline has passed", b.id, id)
		return b.bytes(http.StatusServiceUnavailable, echo+"X-Not-Run: 1\r\n", "")
	}
	b.mu.Lock()
	b.waiting--
	b.running++
	sound := b.junk == 0 && b.extra == 0 && b.shed == 0
	b.mu.Unlock()
	b.record.add("server %s: %s runs", b.id, id)
	judge.ran(id, sound)
	work := time.Duration((0.85 + 0.3*rand.Float64()) * float64(b.work))
	left -= time.Since(arrived)
	time.Sleep(min(work, left))
	b.set(func(b *backend) { b.running-- })
	<-b.slotsFree
	b.record.add("server %s: %s done", b.id, id)
	seal := "X-Server-Seal: " + b.id + "." + id + "\r\n"
	if work > left {
		return b.bytes(http.StatusGatewayTimeout, echo+seal, "")
	}
	return b.bytes(http.StatusOK, echo+seal, "result of "+id+"\n")
}

// longestWork is how long a server works on a request without a deadline.
const longestWork = 30 * time.Second

// deadline returns how long the caller of a request waits.
func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return longestWork
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// bytes returns the bytes of an answer.
func (b *backend) bytes(status int, header, body string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%sX-Server-Load: %s\r\nContent-Length: %s\r\n\r\n%s",
		status, http.StatusText(status), header, b.load(), strconv.Itoa(len(body)), body)
	return out.Bytes()
}

// junkStreams counts the streams of junk under way, which share junkRate.
var junkStreams atomic.Int64

// junkRate is the rate of all junk together in bytes a second, below the 1,000 Mbit/s of one machine's link.
const junkRate = 110_000_000

// sendJunk sends bytes that are no answer until the other end closes the connection.
func (b *backend) sendJunk(c net.Conn) {
	const pieces = 200
	junkStreams.Add(1)
	defer junkStreams.Add(-1)
	piece := bytes.Repeat([]byte{'x'}, junkRate/pieces)
	ticker := time.NewTicker(time.Second / pieces)
	defer ticker.Stop()
	sent := 0
	for range ticker.C {
		n, err := c.Write(piece[:len(piece)/int(junkStreams.Load())])
		sent += n
		if err != nil {
			b.record.add("server %s: the connection is closed after %d MB", b.id, sent/1_000_000)
			return
		}
	}
}
