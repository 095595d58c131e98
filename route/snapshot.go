package route

import (
	"net/http"
	"net/netip"
	"time"

	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/instance"
)

// Snapshot is all that traffic reads of control state; it is immutable.
type Snapshot struct {
	// Version is the configuration version in force.
	Version int64
	// Home is this instance's failure domain, the home of clients of unknown blocks.
	Home string
	// KeepFor is how long a caller may keep a look-up's answer.
	KeepFor   time.Duration
	Leaving   bool
	Classes   *class.Index
	Blocks    *block.Table
	Directory *instance.Directory
	// ClassRoutes are in the order of Classes.
	ClassRoutes []ClassRoute
}

// ClassRoute returns what is known of the class of a name, or nil.
func (s *Snapshot) ClassRoute(name string) *ClassRoute {
	for i := range s.ClassRoutes {
		if s.ClassRoutes[i].Class.Name == name {
			return &s.ClassRoutes[i]
		}
	}
	return nil
}

// Match returns the work that a request is part of, or nil.
func (s *Snapshot) Match(r *http.Request) *ClassRoute {
	found := s.Classes.Find(r)
	if found == nil {
		return nil
	}
	return s.ClassRoute(found.Name)
}

// Locate returns the place of a client, and its home failure domain.
func (s *Snapshot) Locate(client netip.Addr) (place block.Location, home string) {
	p := s.Blocks.Find(client)
	if p.Home == "" {
		return p, s.Home
	}
	return p, p.Home
}

// LookUp ranks the entry instances for a client; it allocates nothing.
func (s *Snapshot) LookUp(client netip.Addr) instance.Ranking {
	p, home := s.Locate(client)
	return s.Directory.Rank(home, p.Hash)
}
