package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
)

// readerCheckPeriod is the period of the checks whether a client reads its response.
const readerCheckPeriod = time.Second

// errSlowReader means that a client read its response at less than the minimum rate.
var errSlowReader = errors.New("the client reads too slowly")

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the ConnContext of the server of a Handler with a minimum body rate. Without it, slow readers are
// not detected.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// readerWatch watches whether a client reads a response at the minimum rate, by the bytes that its end of the
// connection acknowledges, and moves the connection's write deadline with them. It does not apply to what is left in
// the kernel's buffer once the whole response is written: a complete response is never cut off.
type readerWatch struct {
	conn    net.Conn
	control *http.ResponseController
	pace    pace
	acked   int64
	stop    chan struct{}
	// ended is closed when the watch has ended. slow means that it has ended the transfer, and may be read then.
	ended chan struct{}
	slow  bool
}

// writeBody writes the body of a response. Small ones are left to the kernel's buffer.
func (x *exchange) writeBody(body []byte) error {
	if x.handler.MinBodyRate <= 0 || len(body) <= footprint.SmallBytes {
		_, err := x.writer.Write(body)
		return err
	}
	w := x.watchReader()
	if w == nil {
		_, err := x.writer.Write(body)
		return err
	}
	_, err := x.writer.Write(body)
	if err == nil {
		// The rest would otherwise be written after the deadline is removed.
		err = w.control.Flush()
	}
	w.close(err == nil)
	if err != nil && w.slow {
		x.cause = causeSlowReader
		x.handler.Metrics.Count(meter.SlowBodies, "read")
		return errSlowReader
	}
	return err
}

// watchReader starts to watch the client, and returns nil if the response does not go to a TCP connection of its own.
func (x *exchange) watchReader() *readerWatch {
	conn, _ := x.request.Context().Value(connKey{}).(net.Conn)
	if _, ok := link.AckedBytes(conn); !ok {
		return nil
	}
	w := &readerWatch{
		conn:    conn,
		control: http.NewResponseController(x.writer),
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	// A pipelined request waits here until the responses before it are written.
	if w.control.SetWriteDeadline(time.Time{}) != nil {
		return nil
	}
	w.pace = pace{rate: x.handler.MinBodyRate, windowStart: x.handler.Timer.Now()}
	w.acked, _ = link.AckedBytes(conn)
	if w.moveDeadline() != nil {
		return nil
	}
	ticker := x.handler.Timer.Subscribe(readerCheckPeriod)
	go func() {
		defer close(w.ended)
		defer ticker.Close()
		for {
			select {
			case <-w.stop:
				return
			case now := <-ticker.C():
				if !w.check(now) {
					return
				}
			}
		}
	}()
	return w
}

// check counts what the client has acknowledged, and returns false if the transfer has ended.
func (w *readerWatch) check(now time.Time) bool {
	acked, ok := link.AckedBytes(w.conn)
	if !ok {
		return false
	}
	w.pace.add(acked-w.acked, now)
	w.acked = acked
	if now.Before(w.pace.deadline()) {
		return w.moveDeadline() == nil
	}
	w.slow = true
	// Closing the connection then also discards what is in the kernel's buffer.
	w.setLinger(0)
	_ = w.control.SetWriteDeadline(now)
	return false
}

// setLinger sets how many seconds the kernel sends buffered data after the connection is closed; -1 is the default.
func (w *readerWatch) setLinger(seconds int) {
	if c, ok := link.Socket(w.conn).(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(seconds)
	}
}

// moveDeadline sets the write deadline to a time that is reached only if the watch does not run.
func (w *readerWatch) moveDeadline() error {
	return w.control.SetWriteDeadline(w.pace.deadline().Add(paceWindow))
}

// close ends the watch. If the response is complete, it removes the deadline, which would otherwise apply to the
// connection's next response, and lets the kernel send the rest even if the client was found slow meanwhile.
func (w *readerWatch) close(complete bool) {
	close(w.stop)
	<-w.ended
	if !complete {
		return
	}
	if w.slow {
		w.setLinger(-1)
	}
	_ = w.control.SetWriteDeadline(time.Time{})
}
