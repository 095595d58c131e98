package catalog

import (
	"net"
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/account"
)

// Server is a backend server, with the time at which its warm-up ends.
type Server struct {
	lovageyard.BackendServer
	ColdUntil time.Time
}

// Snapshot is an immutable view of a State, safe for concurrent use.
type Snapshot struct {
	// Configuration is nil until one has been read.
	Configuration *lovageyard.Configuration
	Servers       []Server
	// Drained holds the failure domains whose servers receive no requests.
	Drained   map[string]bool
	Instances map[string]lovageyard.EntryInstance
	// Cursors holds the position up to which each table has been read.
	Cursors map[string]lovageyard.Position
	matcher matcher
	// Accounts looks up the client accounts of the configuration.
	Accounts *account.Registry
}

// Match returns the route with the longest matching prefix for a host, with or without a port,
// and a path, or nil if none matches.
func (s *Snapshot) Match(host, path string) *lovageyard.Route {
	return s.matcher.match(host, path)
}

// Version returns the version of the configuration, or 0 if none has been read.
func (s *Snapshot) Version() uint64 {
	if s.Configuration == nil {
		return 0
	}
	return s.Configuration.Version
}

// matcher maps a host in lower case to its routes, the longest prefix first.
type matcher map[string][]*lovageyard.Route

func newMatcher(c *lovageyard.Configuration) matcher {
	m := make(matcher)
	if c == nil {
		return m
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		m[host] = append(m[host], &c.Routes[i])
	}
	for _, list := range m {
		slices.SortStableFunc(list, func(a, b *lovageyard.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

func (m matcher) match(host, path string) *lovageyard.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range m[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
