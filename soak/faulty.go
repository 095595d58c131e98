package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lovageyard.example/lovageyard"
)

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

// load returns the server's load report.
func (s *faultyServer) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(s.slots), s.queued, s.entry.Slots)
}
