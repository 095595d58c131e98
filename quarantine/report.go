package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard/instance"
)

// Server is one incarnation of a backend server; see lovageyard.BackendServer.
type Server struct {
	Name        string
	Incarnation int64
}

// Crash describes the crash of a server that had requests in flight.
type Crash struct {
	Server Server
	// Losses are the requests that were in flight.
	Losses []Loss
	// Age is the time since the crash.
	Age time.Duration
}

// Loss is a request that was in flight on a server when it crashed.
type Loss struct {
	// Request is the fingerprint of the request.
	Request uint64
	// SentAge is the time since the request was sent to the server.
	SentAge time.Duration
}

// Clearance says that a request succeeded, so that earlier crashes no longer count against it.
type Clearance struct {
	Request uint64
	// Age is the time since the success.
	Age time.Duration
}

// Report is the state that instances exchange. It contains ages instead of times, as the clocks of instances
// are not synchronized.
type Report struct {
	Crashes    []Crash
	Clearances []Clearance
}

// IsEmpty reports whether there is nothing to send.
func (r Report) IsEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Clearances) == 0
}

// hash returns a hash of the name and incarnation, which is the same on all instances.
func (s Server) hash() uint64 {
	return instance.MixHash(xxhash.Sum64String(s.Name) ^ uint64(s.Incarnation))
}
