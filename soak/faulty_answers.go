package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard/platform/fake"
)

// Faults that a faulty server injects into a share of its requests. The first group rejects them, the second runs them and
// fails, and the third only disturbs the connection or the answer.
const (
	rejectMarked      = "rejected"
	rejectWithoutID   = "rejected without an ID"
	rejectTooMany     = "rejected with 429"
	rejectBeforeBody  = "rejected before its body"
	rejectFull        = "rejected, queue full"
	rejectDeadline    = "rejected, deadline passed in the queue"
	rejectMisdirected = "misdirected"
	rejectConnections = "connection reset when accepted"
	failUnmarked      = "ran, failed with a status that promises otherwise"
	failServer        = "ran, failed with 500"
	failReset         = "ran, connection reset"
	failClose         = "ran, connection closed"
	failTruncate      = "ran, answer cut"
	failGarble        = "ran, bytes that are no answer"
	failLate          = "ran, answered after the deadline"
	failStatus        = "ran, status without a meaning"
	failName          = "ran, blank in the name of a field"
	failFold          = "ran, folded line in the head"
	failUnframedReset = "ran, answer without a length reset"
	disturbUnframed   = "answer without a length"
	disturbExtra      = "second answer at once"
	disturbExtraLate  = "second answer before the next one"
	disturbExtraNoID  = "second answer without an ID before the next one"
	disturbHeld       = "held by a partition"
	disturbCut        = "reset by a partition"
	strayAnswer       = "another request's second answer came first"
	strayAnswerNoID   = "another request's second answer without an ID came first"
)

// drawnFaults are those that a plan sets; the others follow from the state of a server.
var drawnFaults = []string{
	rejectMarked, rejectWithoutID, rejectTooMany, rejectBeforeBody, rejectConnections, failUnmarked, failServer, failReset, failClose,
	failTruncate, failGarble, failLate, disturbUnframed, disturbExtra, disturbExtraLate, disturbExtraNoID,
}

// brokenAnswerFaults are drawn beside drawnFaults, with random numbers of their own.
var brokenAnswerFaults = []string{failStatus, failName, failFold, failUnframedReset}

// allFaults returns all faults that a plan may set.
func allFaults() []string {
	return slices.Concat(drawnFaults, brokenAnswerFaults)
}

// unmarkedStatuses promise that a request has not run, which the server does not mean.
var unmarkedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// reply is what a server does after a request.
type reply struct {
	answer fake.Answer
	// text is sent in place of the answer unless it is nil; nothing is sent if it is empty.
	text []byte
	// closes means that the connection ends, and resets that it does so with a reset.
	closes, resets bool
}

// bytes returns what is sent.
func (r reply) bytes() []byte {
	if r.text != nil {
		return r.text
	}
	return r.answer.Bytes()
}

// reject returns the answer to a request that is not run.
func (x *faultyConn) reject(id string, status int, fault string) reply {
	s := x.server
	s.ledger.faulted(id, s.current().Name, fault)
	return reply{answer: fake.Answer{Status: status, ID: id, NotRun: true, Load: s.load()}}
}

// handle rejects or runs a request.
func (x *faultyConn) handle(r *http.Request, id string) reply {
	s := x.server
	name := s.current().Name
	switch {
	case !fake.IsFor(r.Header, name):
		done := x.reject(id, http.StatusMisdirectedRequest, rejectMisdirected)
		done.answer.NotRun, done.answer.Server = false, name
		return done
	case s.draws(rejectMarked):
		return x.reject(id, http.StatusServiceUnavailable, rejectMarked)
	case s.draws(rejectTooMany):
		return x.reject(id, http.StatusTooManyRequests, rejectTooMany)
	case s.draws(rejectWithoutID):
		done := x.reject(id, http.StatusServiceUnavailable, rejectWithoutID)
		done.answer.ID = ""
		return done
	}
	timeout, found := fake.Timeout(r.Header)
	if !found {
		timeout = callerTimeout
	}
	if fault := s.acquire(timeout); fault != "" {
		return x.reject(id, http.StatusServiceUnavailable, fault)
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
func (x *faultyConn) finish(id, name string) reply {
	s := x.server
	done := reply{answer: fake.Answer{Status: http.StatusOK, ID: id, Sealed: true, Load: s.load(), Body: fake.Body(id)}}
	for _, fault := range slices.Concat([]string{failUnmarked, failServer, failReset, failClose, failTruncate, failGarble, disturbUnframed}, brokenAnswerFaults) {
		if s.draws(fault) {
			return x.fail(done, fault, name)
		}
	}
	return done
}

// fail changes the answer to a request that ran by a fault.
func (x *faultyConn) fail(done reply, fault, name string) reply {
	id := done.answer.ID
	if fault == failUnmarked {
		done.answer.Status, done.answer.Body = unmarkedStatuses[rand.IntN(len(unmarkedStatuses))], ""
		fault = fmt.Sprint(fault, ": ", done.answer.Status)
	}
	x.server.ledger.faulted(id, name, fault)
	switch fault {
	case failServer:
		done.answer.Status, done.answer.Body = http.StatusInternalServerError, ""
	case failReset:
		resetConn(x.Conn)
		done.text, done.closes = []byte{}, true
	case failClose:
		done.text, done.closes = []byte{}, true
	case failTruncate:
		whole := done.answer.Bytes()
		done.text, done.closes = whole[:len(whole)-len(done.answer.Body)/2], true
	case failGarble:
		done.text, done.closes = []byte(strings.Repeat("no answer ", 20)+"\r\n\r\n"), true
	case failStatus:
		part := halfUnframed(done.answer)
		done.text, done.closes = append([]byte("HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"), part...), true
	case failName:
		done.text, done.closes = hiddenChunks(done.answer, "Transfer-Encoding : chunked"), true
	case failFold:
		done.text, done.closes = hiddenChunks(done.answer, "Field: value\r\n Transfer-Encoding: chunked"), true
	case failUnframedReset:
		done.text, done.closes, done.resets = halfUnframed(done.answer), true, true
	case disturbUnframed:
		done.answer.Unframed, done.closes = true, true
	}
	return done
}

// halfUnframed returns an answer without a length and the second half of its body.
func halfUnframed(a fake.Answer) []byte {
	a.Unframed = true
	a.Body = a.Body[:len(a.Body)/2]
	return a.Bytes()
}

// hiddenChunks returns an answer with its body in a chunk, which lines that are added to its head do not announce as they
// should.
func hiddenChunks(a fake.Answer, lines string) []byte {
	a.Unframed = true
	a.Body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.Body), a.Body)
	return bytes.Replace(a.Bytes(), []byte("\r\n"), []byte("\r\n"+lines+"\r\n"), 1)
}
