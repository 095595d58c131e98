package entry_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The kept connections of a server that leaves are given up with the answer that says so.
func TestConnectionsOfALeavingServerAreForgotten(t *testing.T) {
	leaving := good(200)
	leaving.answer.Meta.Notice.Leaving = true
	y := newYard(t, leaving)
	y.c.Assert(y.ask(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
	y.c.Assert(y.sender.forgotten, qt.DeepEquals, []string{y.sender.sent[0].Server})
	y.c.Assert(y.log.String(), qt.Contains, `"server-leaving":true`)
}
