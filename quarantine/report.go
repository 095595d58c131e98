package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard/instance"
)

// Server is one life of a backend server; see lovageyard.BackendServer.
type Server struct {
	Name        string
	Incarnation int64
}

// Crash is the end of a server while it had requests.
type Crash struct {
	Server Server
	// Losses are the requests that were there.
	Losses []Loss
	// Age is how long ago it was.
	Age time.Duration
}

// Loss is a request that fell with its server.
type Loss struct {
	// Request is the request's fingerprint.
	Request uint64
	// SentAge is how long ago it was sent to the server.
	SentAge time.Duration
}

// Clearance is word of a request that a server answered well.
type Clearance struct {
	Request uint64
	// Age is how long ago it was.
	Age time.Duration
}

// Report is what instances tell each other.
type Report struct {
	Crashes    []Crash
	Clearances []Clearance
}

// IsEmpty says whether the report tells nothing.
func (r Report) IsEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Clearances) == 0
}

// hash returns a number that stands for a life of a server.
func (s Server) hash() uint64 {
	return instance.MixHash(xxhash.Sum64String(s.Name) ^ uint64(s.Incarnation))
}
