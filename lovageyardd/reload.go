package main

import (
	"os"
	"time"

	"lovageyard.example/lovageyard/settings"
)

// settingsFile detects changes of the settings file by its modification time and size.
type settingsFile struct {
	path     string
	modified time.Time
	size     int64
}

func newSettingsFile(path string) *settingsFile {
	f := &settingsFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file has changed since the last call.
func (f *settingsFile) changed() bool {
	if f.path == "" {
		return false
	}
	info, err := os.Stat(f.path)
	if err != nil {
		// The file may be missing briefly while it is replaced.
		return false
	}
	same := info.ModTime().Equal(f.modified) && info.Size() == f.size
	f.modified = info.ModTime()
	f.size = info.Size()
	return !same
}

// reload reads the settings again and applies those that can change at run time: those in bounds, the
// seed peers and the log level. If a setting is invalid, all previous settings stay in effect.
func (e *edge) reload(cause string) {
	file, err := fileOptions()
	if err != nil {
		e.logger.WithError(err).WithField("cause", cause).Error("settings not reloaded")
		return
	}
	var c commands
	parsed, err := settings.Read(os.Args[1:], programName, envPrefix, programAbout, &c, file...)
	if err != nil || parsed == nil {
		e.logger.WithError(err).WithField("cause", cause).Error("settings not reloaded")
		return
	}
	logger, err := settings.Logger(c.Edge.LogLevel, c.Edge.LogFormat)
	if err != nil {
		e.logger.WithError(err).WithField("cause", cause).Error("settings not reloaded")
		return
	}
	e.logger.SetLevel(logger.Level)
	e.dispatch.SetBounds(c.Edge.bounds())
	e.control.SetSeeds(c.Edge.PeerAddresses)
	e.logger.WithField("cause", cause).Info("settings reloaded")
}
