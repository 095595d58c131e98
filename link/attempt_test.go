package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// repeatingServer answers each request with the number of the attempt at the request that it has received, and
// may answer an attempt a second time: at once, or when the next request arrives on the connection.
type repeatingServer struct {
	listener net.Listener
	// idHeader is the header that answers repeat. Attempts are counted by the header Id in any case.
	idHeader string
	// plan returns how an attempt is answered.
	plan func(attempt int) attemptPlan

	mu       sync.Mutex
	attempts map[string]int
}

// attemptPlan says whether an attempt is refused, whether its answers or only the second one lack the ID, and when its
// second answer comes.
type attemptPlan struct {
	refused            bool
	unidentified       bool
	secondUnidentified bool
	early, late        bool
}

func newRepeatingServer(t *testing.T, idHeader string, plan func(attempt int) attemptPlan) *repeatingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &repeatingServer{listener: listener, idHeader: idHeader, plan: plan, attempts: make(map[string]int)}
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
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
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
		identity := s.idHeader + ": " + request.Header.Get(s.idHeader) + "\r\n"
		if p.unidentified {
			identity = ""
		}
		answer := fmt.Sprintf("HTTP/1.1 %d status\r\nContent-Length: 0\r\n%sAttempt: %d\r\n\r\n", status, identity, attempt)
		second := answer
		if p.secondUnidentified {
			second = strings.Replace(answer, identity, "", 1)
		}
		text := pending + answer
		if p.early {
			text += second
		}
		pending = ""
		if p.late {
			pending = second
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
		server := newRepeatingServer(t, "Id", func(attempt int) attemptPlan { return plans[(attempt-1)%len(plans)] })
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

// drawPlans returns plans for three attempts at a request.
func drawPlans(rt *rapid.T, mayBeUnidentified bool) []attemptPlan {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) attemptPlan {
		return attemptPlan{
			refused:            rapid.Bool().Draw(rt, "refused"),
			unidentified:       mayBeUnidentified && rapid.Bool().Draw(rt, "unidentified"),
			secondUnidentified: mayBeUnidentified && rapid.Bool().Draw(rt, "second unidentified"),
			early:              rapid.Bool().Draw(rt, "early"),
			late:               rapid.Bool().Draw(rt, "late"),
		}
	}), 3, 3).Draw(rt, "plans")
}

// An answer must not be taken for that to another request if a caller uses an ID again or sends none, or if a server
// leaves the ID out, of all answers or of second ones: a caller would get another caller's answer, or a refusal of a
// request that runs.
func TestAnswerBelongsToItsRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans := drawPlans(rt, true)
		server := newRepeatingServer(t, "Id", func(attempt int) attemptPlan { return plans[(attempt-1)%len(plans)] })
		defer server.listener.Close()
		transport := link.New(codec{}, timer.Clock{}, nil)
		defer transport.Close()
		sent := make(map[string]int)
		for _, id := range rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c"}), 1, 8).Draw(rt, "ids") {
			sent[id]++
			r := link.Request{Method: "POST", Target: "/", ID: id, Server: "s", ServerAddress: server.listener.Addr().String(), Header: http.Header{}}
			if id != "" {
				r.Header.Set("Id", id)
			}
			response, err := transport.Send(context.Background(), r)
			if err != nil {
				if got := lovageyard.VerdictOf(err); got != lovageyard.VerdictMayHaveRun {
					rt.Fatalf("a request that was sent has the verdict %s: %v", got, err)
				}
				continue
			}
			if got := response.Header.Get("Attempt"); got != strconv.Itoa(sent[id]) {
				rt.Fatalf("request %d with ID %q got the answer to request %s", sent[id], id, got)
			}
		}
	})
}

// A second answer that comes after the next request was sent must not be taken for the answer to that: a charge that
// runs would be answered as not run, or with another caller's answer.
func TestStreamedAnswerBelongsToItsAttempt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mayBeUnidentified := rapid.Bool().Draw(rt, "may be unidentified")
		plans := drawPlans(rt, mayBeUnidentified)
		server := newRepeatingServer(t, lovageyard.AttemptHeader, func(attempt int) attemptPlan { return plans[(attempt-1)%len(plans)] })
		defer server.listener.Close()
		transport := newStreamTransport()
		defer transport.Close()
		backend := lovageyard.BackendServer{Name: "s", Address: server.listener.Addr().String()}
		for n := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			id := fmt.Sprint("request-", n)
			charge := rapid.Bool().Draw(rt, "charge")
			for attempt := range rapid.IntRange(1, 3).Draw(rt, "attempts") {
				method, body, mayResend := http.MethodGet, io.Reader(http.NoBody), allow
				if charge {
					method, body, mayResend = http.MethodPost, strings.NewReader("{}"), nil
				}
				r, err := http.NewRequest(method, "http://unused/", body)
				if err != nil {
					rt.Fatal(err)
				}
				r.Header.Set("Id", id)
				response, err := transport.Stream(r, backend, mayResend)
				if mayBeUnidentified && err != nil && lovageyard.VerdictOf(err) == lovageyard.VerdictMayHaveRun {
					break
				}
				if err != nil {
					rt.Fatalf("%s, attempt %d: %v", id, attempt+1, err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					rt.Fatal(err)
				}
				response.Body.Close()
				if got := response.Header.Get("Attempt"); got != strconv.Itoa(attempt+1) {
					rt.Fatalf("%s: attempt %d got the answer to attempt %s", id, attempt+1, got)
				}
				if response.Header.Get(lovageyard.AttemptHeader) != "" {
					rt.Fatal("the ID of the attempt is passed on")
				}
				if response.StatusCode == http.StatusOK {
					break
				}
			}
		}
	})
}
