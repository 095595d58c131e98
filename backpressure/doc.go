// Package backpressure records what backend servers request in their responses from the instances
// that send to them: a rate limit, a backoff, or no further requests because they are shutting
// down. From that it decides, without I/O, whether a server may get a request now.
//
// The state of a server is only known from its responses, so it can be stale: a server that gets no
// requests from an instance can't report to it that the limit was lifted. A rate limit holds for
// all instances together. It is divided among a few of them without communication; the others probe
// the server at long intervals.
package backpressure
