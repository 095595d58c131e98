package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// NoticeObserver passes what servers ask for in their answers to the choice of servers.
type NoticeObserver struct {
	Dispatch *dispatch.Table
	Timer    lovageyard.Timer
	Logger   *logrus.Logger
}

// Observe takes in the notice of an answer; its request was sent at a time.
func (o *NoticeObserver) Observe(s lovageyard.BackendServer, n lovageyard.Backpressure, sentAt time.Time) {
	change := o.Dispatch.Observe(s, n, sentAt, o.Timer.Now())
	log := o.Logger.WithField("server", s.Name)
	if change.Leaving {
		log.Info("a server says that it leaves")
	}
	if change.Backoff {
		log.WithField("server-backoff-ms", n.Backoff.Milliseconds()).Info("a server asks for a backoff")
	}
	if change.Limit {
		fields := logrus.Fields{"limited": n.Limited}
		if n.Limited {
			fields["server-limit"] = n.Limit
		}
		log.WithFields(fields).Info("a server's limit has changed")
	}
}
