package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// A look-up whose first attempt was lost at a server and whose last one was refused must not be answered as not run.
func TestRefusedRetryIsNotAnsweredAsNotRun(t *testing.T) {
	for _, reused := range []bool{false, true} {
		c := qt.New(t)
		var runs atomic.Int64
		backend := func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/lookups/first":
				answerOK(w, r)
			case runs.Add(1) == 1:
				panic(http.ErrAbortHandler)
			default:
				refuse(w, r)
			}
		}
		addresses := []string{newBackend(t, backend)}
		if !reused {
			addresses = append(addresses, newBackend(t, backend))
		}
		h := newHarness(t, addresses...)
		if reused {
			first, err := h.client.Get(h.front.URL + "/lookups/first")
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, first.Body)
			c.Assert(err, qt.IsNil)
			first.Body.Close()
		}
		response, err := h.client.Get(h.front.URL + "/lookups/1")
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		c.Check(runs.Load() > 1, qt.IsTrue)
		c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway)
		c.Check(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictMayHaveRun))
	}
}
