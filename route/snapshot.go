package route

import (
	"net/http"
	"net/netip"
	"time"

	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/instance"
)

// Snapshot is the control state that request handling reads. It is immutable, except for counters and
// limiters that its ClassRoutes refer to.
type Snapshot struct {
	// Version is the configuration version in force.
	Version int64
	// DefaultHome is this instance's failure domain. It is the home of clients whose block has none.
	DefaultHome string
	// LookUpTTL is how long a caller may cache the answer to a look-up.
	LookUpTTL time.Duration
	Leaving   bool
	Classes   *class.Index
	Blocks    *block.Table
	Directory *instance.Directory
	// ClassRoutes holds the routing state of each class, in the order of Classes.
	ClassRoutes []ClassRoute
}

// ClassRoute returns the routing state of the class with a name, or nil if there is none.
func (s *Snapshot) ClassRoute(name string) *ClassRoute {
	for i := range s.ClassRoutes {
		if s.ClassRoutes[i].Class.Name == name {
			return &s.ClassRoutes[i]
		}
	}
	return nil
}

// Match returns the routing state of the class that a request belongs to, or nil if it matches none.
func (s *Snapshot) Match(r *http.Request) *ClassRoute {
	found := s.Classes.Find(r)
	if found == nil {
		return nil
	}
	return s.ClassRoute(found.Name)
}

// Locate returns the block and bucket of a client, and its home failure domain.
func (s *Snapshot) Locate(client netip.Addr) (location block.Location, home string) {
	found := s.Blocks.Find(client)
	if found.Home == "" {
		return found, s.DefaultHome
	}
	return found, found.Home
}

// LookUp ranks the entry instances for a client. It does not allocate.
func (s *Snapshot) LookUp(client netip.Addr) instance.Ranking {
	location, home := s.Locate(client)
	return s.Directory.Rank(home, location.Hash)
}
