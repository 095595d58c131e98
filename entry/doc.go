// Package entry answers callers on a platform with a feed: look-ups, readiness and
// requests, which it forwards to backend servers.
package entry
