package main

import "github.com/sirupsen/logrus"

// nameHook adds the instance's name to each log line, so that lines of several instances
// can be read together.
type nameHook struct {
	instance string
}

// Levels returns all levels.
func (nameHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the name.
func (h nameHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.instance
	return nil
}
