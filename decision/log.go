package decision

import (
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
)

// Log writes each decision as one log line with kebab-case fields. It implements lovageyard.Recorder.
type Log struct {
	logger *logrus.Logger
}

// NewLog returns a Log that writes to a logger, at level info.
func NewLog(logger *logrus.Logger) *Log {
	return &Log{logger: logger}
}

// Record writes one line without the fields that are empty.
func (l *Log) Record(d lovageyard.Decision) {
	if !l.logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{"kind": d.Kind}
	addText(fields, "class", d.Class)
	addText(fields, "block", d.Block)
	addText(fields, "home", d.Home)
	addText(fields, "site", d.Site)
	addText(fields, "server", d.Server)
	addText(fields, "reason", d.Reason)
	addText(fields, "verdict", string(d.Verdict))
	addText(fields, "server-error", d.ServerError)
	addCount(fields, "plan-step", d.PlanStep)
	addCount(fields, "attempt", int64(d.Attempt))
	addCount(fields, "status", int64(d.Status))
	addCount(fields, "in-flight", int64(d.InFlight))
	addCount(fields, "candidates", int64(d.Candidates))
	if d.Block != "" {
		fields["bucket"] = d.Bucket
	}
	if d.Duration > 0 {
		fields["duration-ms"] = float64(d.Duration.Microseconds()) / 1000
	}
	if d.Share > 0 {
		fields["share"] = d.Share
	}
	l.logger.WithFields(fields).Info("decision")
}

func addText(fields logrus.Fields, name, value string) {
	if value != "" {
		fields[name] = value
	}
}

func addCount(fields logrus.Fields, name string, value int64) {
	if value != 0 {
		fields[name] = value
	}
}
