package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/platform/fake"
)

// Guards against an instance whose callers' listener or server is set up without the look-ahead: pipelined requests
// must reach a server together and be answered in order.
func TestPipelinedRequestsReachServersTogether(t *testing.T) {
	t.Parallel()
	e := newEdge(t)
	conn, err := net.Dial("tcp", e.address)
	e.c.Assert(err, qt.IsNil)
	defer conn.Close()
	const count = 4
	for i := range count {
		id := fmt.Sprint("pipelined-", i)
		request, err := http.NewRequest(http.MethodGet, "http://"+edgeHost+longPrefix+id, nil)
		e.c.Assert(err, qt.IsNil)
		fake.SetRequestHeaders(request.Header, id, id, 30*time.Second)
		e.c.Assert(request.Write(conn), qt.IsNil)
	}
	long := e.servers[len(e.servers)-1]
	e.until("all requests to run", func() bool { return long.Running() == count })
	reader := bufio.NewReader(conn)
	for i := range count {
		response, err := http.ReadResponse(reader, nil)
		e.c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		e.c.Assert(err, qt.IsNil)
		e.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		e.c.Assert(string(body), qt.Equals, fake.Body(fmt.Sprint("pipelined-", i)))
	}
}
