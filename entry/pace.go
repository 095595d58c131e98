package entry

import (
	"io"
	"net/http"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
)

// paceWindow is how long a body may be transferred at less than the minimum rate.
const paceWindow = 5 * time.Second

// pace decides whether a body is transferred too slowly. It is intended for clients that hold an instance's memory
// by sending or reading hardly anything.
type pace struct {
	// rate is the minimum rate in bytes per second.
	rate int64
	// windowStart is the start of the current window, and bytes what was transferred since.
	windowStart time.Time
	bytes       int64
}

// add counts transferred bytes. A new window starts as soon as the current one has the bytes of the minimum rate.
func (p *pace) add(bytes int64, now time.Time) {
	p.bytes += bytes
	if p.bytes >= p.rate*int64(paceWindow/time.Second) {
		p.windowStart, p.bytes = now, 0
	}
}

// deadline returns when the transfer is ended unless more bytes are transferred until then.
func (p *pace) deadline() time.Time {
	return p.windowStart.Add(paceWindow)
}

// pacedBody is a request body whose client must send at a minimum rate. It moves the connection's read deadline.
type pacedBody struct {
	io.ReadCloser
	control *http.ResponseController
	timer   lovageyard.Timer
	pace    pace
}

// pacedBody returns the request's body, with a minimum rate if there is one.
func (x *exchange) pacedBody() io.ReadCloser {
	rate := x.handler.MinBodyRate
	if rate <= 0 {
		return x.request.Body
	}
	b := &pacedBody{ReadCloser: x.request.Body, control: http.NewResponseController(x.writer), timer: x.handler.Timer}
	b.pace = pace{rate: rate, windowStart: b.timer.Now()}
	if b.control.SetReadDeadline(b.pace.deadline()) != nil {
		// The body does not come from a connection of its own.
		return x.request.Body
	}
	return b
}

// Read reads from the body, and moves the deadline if the client has made progress. At the end it removes the
// deadline, which would otherwise end the connection's watch for a disconnecting client.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	before := b.pace.windowStart
	b.pace.add(int64(n), b.timer.Now())
	deadline := b.pace.deadline()
	switch {
	case err == io.EOF:
		deadline = time.Time{}
	case err != nil || b.pace.windowStart.Equal(before):
		return n, err
	}
	// Fails only on a connection that is closed, which the next read reports.
	_ = b.control.SetReadDeadline(deadline)
	return n, err
}

// endSlow ends a request whose body was sent too slowly, and its connection.
func (x *exchange) endSlow() {
	x.writer.Header().Set("Connection", "close")
	x.handler.Metrics.Count(meter.SlowBodies, "sent")
	x.refuse(causeSlowBody, "the body is sent too slowly", noRetry, nil)
}
