package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// BackpressureObserver passes the backpressure in servers' answers to the dispatch table, and logs changes. It
// implements link.Observer.
type BackpressureObserver struct {
	Dispatch *dispatch.Table
	Timer    lovageyard.Timer
	Logger   *logrus.Logger
}

// Observe applies the backpressure in the answer to a request that was sent at sentAt.
func (o *BackpressureObserver) Observe(s lovageyard.BackendServer, b lovageyard.Backpressure, sentAt time.Time) {
	change := o.Dispatch.Observe(s, b, sentAt, o.Timer.Now())
	log := o.Logger.WithField("server", s.Name)
	if change.Leaving {
		log.Info("a server says that it leaves")
	}
	if change.Backoff {
		log.WithField("server-backoff-ms", b.Backoff.Milliseconds()).Info("server requested backoff")
	}
	if change.Limit {
		fields := logrus.Fields{"limited": b.Limited}
		if b.Limited {
			fields["server-limit"] = b.Limit
		}
		log.WithFields(fields).Info("server limit changed")
	}
}
