package utilisation_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/utilisation"
)

// totals is a Source that returns the usage set by the test.
type totals struct {
	usage utilisation.Usage
	err   error
}

func (t *totals) Usage() (utilisation.Usage, error) { return t.usage, t.err }

// An instance must report the scarcer of processor and link, averaged, and recover from a burst within the window.
func TestHigherOfProcessorAndLinkIsMeasured(t *testing.T) {
	c := qt.New(t)
	source := &totals{}
	m := utilisation.NewMeter(source, utilisation.Capacity{Cores: 0.5, LinkMbps: 8})
	measure := func(second int, cpu time.Duration, bytes int64) float64 {
		source.usage.CPU += cpu
		source.usage.Bytes += bytes
		u, known := m.Measure(time.Duration(second) * time.Second)
		c.Assert(known, qt.Equals, second > 0)
		return u
	}
	measure(0, time.Hour, 1<<40)
	c.Assert(measure(1, 250*time.Millisecond, 100_000), qt.Equals, 0.5)
	c.Assert(measure(2, 250*time.Millisecond, 100_000), qt.Equals, 0.5)
	c.Assert(measure(3, 0, 2_800_000), qt.Equals, 1.0)
	c.Assert(measure(6, 0, 0), qt.Equals, 0.0)
}

// Without a capacity, or without the totals, an instance must report nothing instead of being idle.
func TestUtilisationIsUnknownWithoutCapacityOrTotals(t *testing.T) {
	c := qt.New(t)
	source := &totals{}
	isKnown := func(m *utilisation.Meter, at time.Duration) bool {
		_, known := m.Measure(at)
		return known
	}
	none := utilisation.NewMeter(source, utilisation.Capacity{})
	link := utilisation.NewMeter(source, utilisation.Capacity{LinkMbps: 10})
	for second := range 3 {
		at := time.Duration(second) * time.Second
		c.Assert(isKnown(none, at), qt.IsFalse)
		c.Assert(isKnown(link, at), qt.Equals, second > 0)
	}
	source.err = errors.New("no totals")
	c.Assert(isKnown(link, 3*time.Second), qt.IsFalse)
	source.err = nil
	c.Assert(isKnown(link, 4*time.Second), qt.IsFalse)
	c.Assert(isKnown(link, 5*time.Second), qt.IsTrue)
}

// The bytes of requests and responses must be counted, and the processor time must grow.
func TestProcessCountsBytesAndProcessorTime(t *testing.T) {
	c := qt.New(t)
	process := &utilisation.Process{}
	before, err := process.Usage()
	c.Assert(err, qt.IsNil)
	const size = 300_000
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	server.Listener = process.Listen(server.Listener)
	server.Start()
	defer server.Close()
	response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", size)))
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(body, qt.HasLen, size)
	// Waits for the handler: the last write is counted when it returns, which may be after the client has read it.
	server.Close()
	after, err := process.Usage()
	c.Assert(err, qt.IsNil)
	c.Assert(after.Bytes-before.Bytes > 2*size, qt.IsTrue)
	c.Assert(after.CPU > before.CPU, qt.IsTrue)
}

// A client that still sends when its request is rejected must receive the response: the server has to close only its
// writing side first.
func TestCountedConnectionsCloseTheirWritingSide(t *testing.T) {
	c := qt.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := (&utilisation.Process{}).Listen(plain)
	defer listener.Close()
	client, err := net.Dial("tcp", plain.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer accepted.Close()
	c.Assert(accepted.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
	rest, err := io.ReadAll(client)
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.HasLen, 0)
	_, err = client.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_, err = accepted.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
}
