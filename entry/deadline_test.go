package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// A server gets the shorter of the client's deadline and the route's timeout. An answer that the server had
// ready in time is still delivered shortly after the timeout, but not after the client's own deadline.
func TestDeadlines(t *testing.T) {
	c := qt.New(t)
	const second = time.Second
	for _, test := range []struct{ timeout, client, server, end time.Duration }{
		{timeout: second, client: 3 * second, server: second, end: second + answerGrace},
		{timeout: second, client: second, server: second, end: second - answerMargin},
		{timeout: 3 * second, client: second, server: second, end: second - answerMargin},
		{timeout: second, server: second, end: second + answerGrace},
		{client: second, server: second, end: second - answerMargin},
		{server: defaultDeadline, end: defaultDeadline},
	} {
		x := &exchange{
			route: &lovageyard.Route{Timeout: test.timeout},
			meta:  lovageyard.RequestMeta{Timeout: test.client},
		}
		x.setDeadlines()
		c.Assert(x.deadline.Sub(x.began), qt.Equals, test.server)
		c.Assert(x.answerDeadline.Sub(x.began), qt.Equals, test.end)
	}
	// Operators tolerate 250 ms past the timeout.
	c.Assert(answerGrace < 250*time.Millisecond, qt.IsTrue)
}
