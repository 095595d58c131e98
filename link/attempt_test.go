package link_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// repeatingServer answers each request with the number of the attempt at the request that it has received, and
// may answer an attempt a second time: at once, or when the next request arrives on the connection.
type repeatingServer struct {
	listener net.Listener
	// plan returns how an attempt is answered.
	plan func(attempt int) attemptPlan

	mu       sync.Mutex
	attempts map[string]int
}

// attemptPlan says whether an attempt is refused, and when its second answer comes.
type attemptPlan struct {
	refused     bool
	early, late bool
}

func newRepeatingServer(t *testing.T, plan func(attempt int) attemptPlan) *repeatingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &repeatingServer{listener: listener, plan: plan, attempts: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	pending := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		s.mu.Lock()
		s.attempts[id]++
		attempt := s.attempts[id]
		s.mu.Unlock()
		p := s.plan(attempt)
		status := http.StatusOK
		if p.refused {
			status = http.StatusServiceUnavailable
		}
		answer := fmt.Sprintf("HTTP/1.1 %d status\r\nContent-Length: 0\r\nId: %s\r\nAttempt: %d\r\n\r\n", status, id, attempt)
		text := pending + answer
		if p.early {
			text += answer
		}
		pending = ""
		if p.late {
			pending = answer
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		// The next answer must come later than the second one to this attempt.
		time.Sleep(time.Millisecond)
	}
}

// A late second answer to an attempt that was refused must not be taken for the answer to the next attempt of the same
// request, which has the same ID: a charge that runs would be answered as not run.
func TestAnswerBelongsToItsAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) attemptPlan {
			return attemptPlan{refused: rapid.Bool().Draw(rt, "refused"), early: rapid.Bool().Draw(rt, "early"), late: rapid.Bool().Draw(rt, "late")}
		}), 3, 3).Draw(rt, "plans")
		server := newRepeatingServer(t, func(attempt int) attemptPlan { return plans[(attempt-1)%len(plans)] })
		defer server.listener.Close()
		transport := link.New(codec{}, timer.Clock{}, nil)
		defer transport.Close()
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		for n := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			id := fmt.Sprint("request-", n)
			for attempt := range rapid.IntRange(1, 3).Draw(rt, "attempts") {
				response, err := transport.Send(context.Background(), link.Request{
					Method: "POST", Target: "/", ID: id, Idempotent: idempotent, Server: "s",
					ServerAddress: server.listener.Addr().String(), Header: http.Header{"Id": {id}},
				})
				if err != nil {
					rt.Fatalf("%s, attempt %d: %v", id, attempt+1, err)
				}
				if got := response.Header.Get("Attempt"); got != strconv.Itoa(attempt+1) {
					rt.Fatalf("%s: attempt %d got the answer to attempt %s", id, attempt+1, got)
				}
				if !response.Meta.NotRun {
					break
				}
			}
		}
	})
}
