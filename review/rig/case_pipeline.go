package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = scenario{largeBodyBounds, pipelined} }

// graceS is the time for a stop in such a deployment.
const graceS = 6 * time.Second

// deadlineMs is the deadline of fitment-check.
const deadlineMs = 1000

// leaving holds when instances got SIGTERM, by the address for clients.
type leaving struct {
	mu sync.Mutex
	at map[string]time.Time
}

// pipelined plays clients that send two idempotent requests at once on a kept connection, while two of six instances
// get SIGTERM in turn. A request that was passed on to a server must not end with its connection.
func pipelined(w *world) (int, error) {
	if _, err := w.addServers(service{name: "catalogue-data", slots: 3, work: 216 * time.Millisecond}, 16); err != nil {
		return couldntRun, err
	}
	w.configure(map[string]any{"r-fitment": map[string]any{
		"Host": host, "Prefix": "/fitment/", "Kind": "idempotent", "TimeoutMs": 2000, "GoalMs": 200, "Priority": 0,
		"Service": "catalogue-data", "Attempts": 2, "Sticky": true, "HomeRegions": []string{},
	}})
	if err := w.startInstances(); err != nil {
		return couldntRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &pipeliner{world: w, leaving: leaving{at: make(map[string]time.Time)}}
	var open sync.WaitGroup
	for i, z := range zones {
		c := newClients(w.record, w.instances, z)
		c.lookUp()
		open.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(2 * time.Second)
				c.lookUp()
			}
		})
		for n := range 5 {
			open.Go(func() {
				time.Sleep(time.Duration(n) * 70 * time.Millisecond)
				for turn := 0; ctx.Err() == nil; turn++ {
					p.useConnection(ctx, c.address(), fmt.Sprintf("fitment-%d-%d-%d", i, n, turn))
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	for _, e := range w.instances[:2] {
		if w.trouble {
			p.leaving.mu.Lock()
			p.leaving.at[e.front] = time.Now()
			p.leaving.mu.Unlock()
			e.signal(syscall.SIGTERM)
			e.wait()
			if err := e.start(); err != nil {
				return couldntRun, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	cancel()
	open.Wait()
	w.record.say("%d requests answered; LOST: %d requests were passed on to a server and their connection ended without an answer: %s",
		p.answered, len(p.lost), strings.Join(p.lost[:min(5, len(p.lost))], " "))
	if p.answered < 500 {
		return couldntRun, nil
	}
	if len(p.lost) > 0 {
		return broken, nil
	}
	return held, nil
}

// pipeliner sends pairs of requests, the second before the first is answered.
type pipeliner struct {
	world   *world
	leaving leaving

	mu       sync.Mutex
	answered int
	lost     []string
}

// pairs is how many pairs a client sends on one connection.
const pairs = 20

// useConnection sends pairs of requests on one connection until it closes.
func (p *pipeliner) useConnection(ctx context.Context, address, name string) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer raw.Close()
	reader := bufio.NewReader(raw)
	for n := 0; n < pairs && ctx.Err() == nil; n++ {
		var ids []string
		text := ""
		for _, part := range []string{"a", "b"} {
			id := fmt.Sprintf("%s-%d%s", name, n, part)
			ids = append(ids, id)
			text += fmt.Sprintf("GET /fitment/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", n, host, id, id)
		}
		sentAt := time.Now()
		_ = raw.SetDeadline(sentAt.Add(deadlineMs * time.Millisecond))
		p.world.record.add("client: %s and %s sent to %s", ids[0], ids[1], address)
		if _, err := raw.Write([]byte(text)); err != nil {
			p.world.record.add("client: %s and %s not sent: %v", ids[0], ids[1], err)
			return
		}
		for _, id := range ids {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			if err != nil {
				p.ended(address, id, sentAt, err)
				return
			}
			p.world.record.add("client: %s answered %d, closes the connection: %v", id, response.StatusCode, response.Close)
			p.mu.Lock()
			p.answered++
			p.mu.Unlock()
		}
	}
}

// ended records that a connection ended before a request was answered, and whether that breaks the rule: the request was
// passed on to a server, its deadline had not passed, and the machine got SIGTERM at most GraceS and 1 s before. What
// ends in the last sixth of GraceS or later is not counted.
func (p *pipeliner) ended(address, id string, sentAt time.Time, err error) {
	p.leaving.mu.Lock()
	at, found := p.leaving.at[address]
	p.leaving.mu.Unlock()
	now := time.Now()
	runs := judge.runsOf(id)
	planned := found && now.Sub(at) < graceS*5/6
	late := now.Sub(sentAt) > deadlineMs*9/10*time.Millisecond
	p.world.record.add("client: %s no answer, the connection ended: %v; it has run %d times; SIGTERM %v", id, err, runs, planned)
	if runs > 0 && planned && !late {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lost = append(p.lost, id)
	}
}
