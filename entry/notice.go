package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// NoticeObserver passes the notices in servers' answers to the dispatch table, and logs changes. It implements
// link.Observer.
type NoticeObserver struct {
	Dispatch *dispatch.Table
	Timer    lovageyard.Timer
	Logger   *logrus.Logger
}

// Observe applies the notice of an answer to a request that was sent at sentAt.
func (o *NoticeObserver) Observe(s lovageyard.BackendServer, n lovageyard.Backpressure, sentAt time.Time) {
	change := o.Dispatch.Observe(s, n, sentAt, o.Timer.Now())
	log := o.Logger.WithField("server", s.Name)
	if change.Leaving {
		log.Info("a server says that it leaves")
	}
	if change.Backoff {
		log.WithField("server-backoff-ms", n.Backoff.Milliseconds()).Info("server requested backoff")
	}
	if change.Limit {
		fields := logrus.Fields{"limited": n.Limited}
		if n.Limited {
			fields["server-limit"] = n.Limit
		}
		log.WithFields(fields).Info("server limit changed")
	}
}
