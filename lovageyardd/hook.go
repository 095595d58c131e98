package main

import "github.com/sirupsen/logrus"

// instanceHook is a logrus hook that adds the instance's name to each log line, so that the logs
// of several instances can be merged.
type instanceHook struct {
	instance string
}

// Levels returns all levels: the hook applies to every line.
func (instanceHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the instance's name to the entry's fields.
func (h instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.instance
	return nil
}
