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
	"strings"
	"sync"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// Faults that a faulty server injects into a share of its requests. The first group rejects them, the second runs them and
// fails, and the third only disturbs the connection or the answer.
const (
	rejectMarked       = "rejected"
	rejectWithoutID    = "rejected without an ID"
	rejectTooMany      = "rejected with 429"
	rejectBeforeBody   = "rejected before its body"
	rejectFull         = "rejected, queue full"
	rejectDeadline     = "rejected, deadline passed in the queue"
	rejectMisdirected  = "misdirected"
	rejectConnections  = "connection reset when accepted"
	failUnmarked       = "ran, failed with a status that promises otherwise"
	failServer         = "ran, failed with 500"
	failReset          = "ran, connection reset"
	failClose          = "ran, connection closed"
	failTruncate       = "ran, answer cut"
	failGarble         = "ran, bytes that are no answer"
	failLate           = "ran, answered after the deadline"
	disturbUnframed    = "answer without a length"
	disturbExtra       = "second answer at once"
	disturbExtraLate   = "second answer before the next one"
	disturbExtraNoID   = "second answer without an ID before the next one"
	disturbHeld        = "held by a partition"
	disturbCut         = "reset by a partition"
	strayAnswer        = "another request's second answer came first"
	strayAnswerWithout = "another request's second answer without an ID came first"
)

// drawnFaults are those that a plan sets; the others follow from the state of a server.
var drawnFaults = []string{
	rejectMarked, rejectWithoutID, rejectTooMany, rejectBeforeBody, rejectConnections, failUnmarked, failServer, failReset, failClose,
	failTruncate, failGarble, failLate, disturbUnframed, disturbExtra, disturbExtraLate, disturbExtraNoID,
}

// unmarkedStatuses promise that a request has not run, which the server does not mean.
var unmarkedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// faultyServer is a backend server that serves one request at a time on a connection, and whose faults concern single
// connections and bytes.
type faultyServer struct {
	ledger *ledger
	work   time.Duration
	slots  chan struct{}
	cuts   *cuts

	mu       sync.Mutex
	entry    lovageyard.BackendServer
	listener net.Listener
	conns    map[net.Conn]bool
	shares   map[string]float64
	queued   int
	frozen   chan struct{}
}

func startFaultyServer(entry lovageyard.BackendServer, work time.Duration, l *ledger, c *cuts) (*faultyServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	entry.Address = listener.Addr().String()
	s := &faultyServer{
		ledger: l, work: work, slots: make(chan struct{}, entry.Slots), cuts: c, entry: entry,
		listener: listener, conns: make(map[net.Conn]bool), shares: make(map[string]float64), frozen: closedChannel(),
	}
	go s.accept(listener)
	return s, nil
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// current returns the server's entry.
func (s *faultyServer) current() lovageyard.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// setShares sets the shares of the requests into which each fault is injected.
func (s *faultyServer) setShares(shares map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = shares
}

// freeze stops the server from reading and writing for a time.
func (s *faultyServer) freeze(d time.Duration) {
	frozen := make(chan struct{})
	s.mu.Lock()
	s.frozen = frozen
	s.mu.Unlock()
	time.Sleep(d)
	close(frozen)
}

// stop closes the listener and all connections, as a crash does.
func (s *faultyServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.conns {
		resetConn(c)
	}
}

// restartAs starts the server again at its address under another name.
func (s *faultyServer) restartAs(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.entry.Address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.entry.Name, s.entry.Incarnation = name, time.Now().UnixMilli()
	go s.accept(listener)
	return nil
}

// resetConn closes a connection without delivering what was written.
func resetConn(c net.Conn) {
	if socket, ok := c.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	c.Close()
}

func (s *faultyServer) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		if s.draws(rejectConnections) {
			resetConn(c)
			continue
		}
		go s.serve(c)
	}
}

// draws reports whether a fault is injected.
func (s *faultyServer) draws(fault string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.shares[fault]
}

// track adds a connection to those that stop closes, or removes it.
func (s *faultyServer) track(c net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}

// thaw waits until the server is not frozen.
func (s *faultyServer) thaw() {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	<-frozen
}

// serve serves the requests of one connection.
func (s *faultyServer) serve(c net.Conn) {
	s.track(c, true)
	defer s.track(c, false)
	defer c.Close()
	x := &faultyConn{Conn: c, server: s, reader: bufio.NewReader(c)}
	for x.serveOne() {
		s.thaw()
	}
}

// faultyConn is one connection to a faulty server.
type faultyConn struct {
	net.Conn
	server *faultyServer
	reader *bufio.Reader
	// late is the second answer that is sent before the next one, and lateFault the fault that this is for the next request.
	late      []byte
	lateFault string
}

// serveOne serves the next request, and reports whether the connection stays open.
func (x *faultyConn) serveOne() bool {
	s := x.server
	r, err := http.ReadRequest(x.reader)
	if err != nil {
		return false
	}
	s.thaw()
	id := r.Header.Get("X-Request-Id")
	if !x.passesPartition(id) {
		return false
	}
	if r.ContentLength > 0 && s.draws(rejectBeforeBody) {
		s.ledger.faulted(id, s.current().Name, rejectBeforeBody)
		_, _ = x.Write(s.answer(http.StatusServiceUnavailable, id, "X-Not-Run: 1\r\nConnection: close\r\n", ""))
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	answer, open := x.handle(r, id)
	if len(answer) == 0 {
		return open
	}
	if !x.passesPartition(id) {
		return false
	}
	if x.late != nil {
		s.ledger.faulted(id, s.current().Name, x.lateFault)
		answer, x.late = append(bytes.Clone(x.late), answer...), nil
	}
	if _, err := x.Write(answer); err != nil {
		return false
	}
	return open && x.disturb(id, answer)
}

// disturb sends second answers, or keeps them for the next request.
func (x *faultyConn) disturb(id string, answer []byte) bool {
	s := x.server
	switch {
	case s.draws(disturbExtra):
		s.ledger.faulted(id, s.current().Name, disturbExtra)
		_, err := x.Write(answer)
		return err == nil
	case s.draws(disturbExtraLate):
		x.late, x.lateFault = answer, strayAnswer
	case s.draws(disturbExtraNoID):
		x.late, x.lateFault = bytes.Replace(answer, []byte("X-Request-Id: "+id+"\r\n"), nil, 1), strayAnswerWithout
	}
	return true
}

// passesPartition waits while a partition holds the connection, and reports whether what was sent is still delivered:
// its sender may have discarded it by a reset.
func (x *faultyConn) passesPartition(id string) bool {
	partition := x.server.cuts.of(x.Conn)
	switch {
	case partition == nil:
		return true
	case partition.reset:
		x.server.ledger.faulted(id, x.server.current().Name, disturbCut)
		resetConn(x.Conn)
		return false
	}
	x.server.ledger.faulted(id, x.server.current().Name, disturbHeld)
	<-partition.ended
	_ = x.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := x.reader.Peek(1)
	_ = x.SetReadDeadline(time.Time{})
	var timeout net.Error
	// After a normal close by the sender, everything before it is delivered.
	return err == nil || err == io.EOF || asTimeout(err, &timeout)
}

// handle rejects or runs a request. It returns the bytes of the answer, and whether the connection stays open.
func (x *faultyConn) handle(r *http.Request, id string) ([]byte, bool) {
	s := x.server
	name := s.current().Name
	reject := func(status int, fault, header string) ([]byte, bool) {
		s.ledger.faulted(id, name, fault)
		return s.answer(status, id, header, ""), true
	}
	switch {
	case r.Header.Get("X-Target-Instance") != name:
		return reject(http.StatusMisdirectedRequest, rejectMisdirected, "X-Instance-Id: "+name+"\r\n")
	case s.draws(rejectMarked):
		return reject(http.StatusServiceUnavailable, rejectMarked, "X-Not-Run: 1\r\n")
	case s.draws(rejectTooMany):
		return reject(http.StatusTooManyRequests, rejectTooMany, "X-Not-Run: 1\r\n")
	case s.draws(rejectWithoutID):
		s.ledger.faulted(id, name, rejectWithoutID)
		return s.answer(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n", ""), true
	}
	timeout := timeoutOf(r)
	if fault := s.acquire(timeout); fault != "" {
		return reject(http.StatusServiceUnavailable, fault, "X-Not-Run: 1\r\n")
	}
	s.ledger.ran(id, name)
	work := time.Duration((0.7 + 0.6*rand.Float64()) * float64(s.work))
	if s.draws(failLate) {
		s.ledger.faulted(id, name, failLate)
		work = timeout + 300*time.Millisecond
	}
	time.Sleep(work)
	<-s.slots
	s.thaw()
	return x.finish(id, name)
}

// finish returns the answer to a request that ran, or fails.
func (x *faultyConn) finish(id, name string) ([]byte, bool) {
	s := x.server
	for _, fault := range []string{failUnmarked, failServer, failReset, failClose, failTruncate, failGarble, disturbUnframed} {
		if s.draws(fault) {
			return x.fail(fault, id, name)
		}
	}
	return s.answer(http.StatusOK, id, sealOf(id), fake.Body(id)), true
}

func sealOf(id string) string {
	return "X-Server-Seal: seal-" + id + "\r\n"
}

// fail ends a request that ran by a fault.
func (x *faultyConn) fail(fault, id, name string) ([]byte, bool) {
	s := x.server
	if fault == failUnmarked {
		status := unmarkedStatuses[rand.IntN(len(unmarkedStatuses))]
		s.ledger.faulted(id, name, fmt.Sprint(fault, ": ", status))
		return s.answer(status, id, sealOf(id), ""), true
	}
	s.ledger.faulted(id, name, fault)
	whole := s.answer(http.StatusOK, id, sealOf(id), fake.Body(id))
	switch fault {
	case failServer:
		return s.answer(http.StatusInternalServerError, id, sealOf(id), ""), true
	case failReset:
		resetConn(x.Conn)
		return nil, false
	case failClose:
		return nil, false
	case failTruncate:
		return whole[:len(whole)-len(fake.Body(id))/2], false
	case failGarble:
		return []byte(strings.Repeat("no answer ", 20) + "\r\n\r\n"), false
	}
	unframed := bytes.Replace(whole, []byte("Content-Length: "+strconv.Itoa(len(fake.Body(id)))+"\r\n"), nil, 1)
	return unframed, false
}

// acquire waits for a slot, and returns the fault if the request is rejected.
func (s *faultyServer) acquire(timeout time.Duration) string {
	s.mu.Lock()
	if s.queued >= 2*s.entry.Slots {
		s.mu.Unlock()
		return rejectFull
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-expired.C:
		return rejectDeadline
	}
}

// timeoutOf returns how long the caller of a request waits.
func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return callerTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// answer returns the bytes of an answer; one with an empty ID states none.
func (s *faultyServer) answer(status int, id, header, body string) []byte {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", len(s.slots), s.queued, s.entry.Slots)
	s.mu.Unlock()
	if id != "" {
		header = "X-Request-Id: " + id + "\r\n" + header
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, load, len(body), body)
}
