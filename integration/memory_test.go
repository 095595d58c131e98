package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"

	qt "github.com/frankban/quicktest"
)

// The settings for memory and body rates must reach the process's handlers: slow uploads must not take more than the
// budget, nor keep small requests out, and must end.
func TestSlowUploadsAreBoundedAndEnded(t *testing.T) {
	t.Parallel()
	platform := newEdge(t)
	platform.store.PutConfiguration(lovageyard.Configuration{
		Version: 2,
		Routes: []lovageyard.Route{{
			Name: "look-up", Host: edgeHost, Prefix: lookUpPrefix, Idempotent: true, Attempts: 1,
			Parts: []lovageyard.ServiceWeight{{Service: edgeService, Weight: 1}},
		}},
		Services:     map[string]lovageyard.Service{edgeService: {Name: edgeService, MaxConnections: 400}},
		MaxBodyBytes: 8 << 20,
	})
	e := &edge{
		c: platform.c, name: "bounded", store: platform.store, platform: platform.platform, leaveWithin: platform.leaveWithin,
		extraArgs: []string{"--memory-mb", "64", "--min-body-rate", "100000"},
	}
	e.start()
	e.until("the configuration to be in force", func() bool {
		status, _ := e.request(http.MethodPost, lookUpPrefix, "before", strings.Repeat("b", 2000))
		return status == http.StatusOK
	})
	upload := func() *bufio.Reader {
		conn, err := net.Dial("tcp", e.address)
		e.c.Assert(err, qt.IsNil)
		e.c.Cleanup(func() { conn.Close() })
		header := make(http.Header)
		fake.SetRequestHeaders(header, "slow", "slow", longWork)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", lookUpPrefix, edgeHost, 5<<20)
		e.c.Assert(header.Write(conn), qt.IsNil)
		fmt.Fprint(conn, "\r\n")
		return bufio.NewReader(conn)
	}
	status := func(r *bufio.Reader) int {
		response, err := http.ReadResponse(r, nil)
		e.c.Assert(err, qt.IsNil)
		response.Body.Close()
		return response.StatusCode
	}
	// The budget for large requests is 0.8 of a quarter of 64 MB, which is room for two.
	var stalled []*bufio.Reader
	for range 3 {
		stalled = append(stalled, upload())
	}
	statuses := make(map[int]int)
	refused := make(chan int, len(stalled))
	for _, r := range stalled {
		go func() { refused <- status(r) }()
	}
	statuses[<-refused]++
	small, _ := e.request(http.MethodPost, lookUpPrefix, "small", strings.Repeat("b", 2000))
	e.c.Assert(small, qt.Equals, http.StatusOK)
	for range len(stalled) - 1 {
		statuses[<-refused]++
	}
	e.c.Assert(statuses, qt.DeepEquals, map[int]int{http.StatusServiceUnavailable: 1, http.StatusRequestTimeout: 2})
	served, _ := e.request(http.MethodPost, lookUpPrefix, "after", strings.Repeat("b", 5<<20))
	e.c.Assert(served, qt.Equals, http.StatusOK)
	log := e.stop()
	e.c.Assert(log, qt.Contains, `"cause":"memory"`)
	e.c.Assert(log, qt.Contains, `"cause":"slow-body"`)
}
