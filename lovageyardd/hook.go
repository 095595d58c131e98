package main

import "github.com/sirupsen/logrus"

// nameHook adds the instance's name to each log line, so that lines of several instances
// can be read together.
type instanceHook struct {
	instance string
}

// Levels returns all levels.
func (instanceHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the name.
func (h instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.instance
	return nil
}
