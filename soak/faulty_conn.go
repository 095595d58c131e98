package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"lovageyard.example/lovageyard/platform/fake"
)

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
	id := fake.RequestID(r.Header)
	if !x.passesPartition(id) {
		return false
	}
	if r.ContentLength > 0 && s.draws(rejectBeforeBody) {
		_, _ = x.Write(x.reject(id, http.StatusServiceUnavailable, rejectBeforeBody).bytes())
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	done := x.handle(r, id)
	if len(done.bytes()) == 0 || !x.passesPartition(id) {
		return false
	}
	if !x.sendLate(id) {
		return false
	}
	if _, err := x.Write(done.bytes()); err != nil {
		return false
	}
	if done.resets {
		// What was sent is to arrive before the reset.
		time.Sleep(time.Millisecond)
		resetConn(x.Conn)
	}
	return !done.closes && x.disturb(id, done.answer)
}

// sendLate sends the second answer to the request before, if there is one.
func (x *faultyConn) sendLate(id string) bool {
	if x.late == nil {
		return true
	}
	x.server.ledger.faulted(id, x.server.current().Name, x.lateFault)
	_, err := x.Write(x.late)
	x.late = nil
	return err == nil
}

// disturb sends a second answer, or keeps it for the next request.
func (x *faultyConn) disturb(id string, second fake.Answer) bool {
	s := x.server
	switch {
	case s.draws(disturbExtra):
		s.ledger.faulted(id, s.current().Name, disturbExtra)
		_, err := x.Write(second.Bytes())
		return err == nil
	case s.draws(disturbExtraLate):
		x.late, x.lateFault = second.Bytes(), strayAnswer
	case s.draws(disturbExtraNoID):
		second.ID = ""
		x.late, x.lateFault = second.Bytes(), strayAnswerNoID
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
