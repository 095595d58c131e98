// Package detour sends requests to backend servers through other entry instances while this instance
// can't reach the servers itself.
//
// A network partition may separate one instance from all servers while callers, the platform and other
// instances still reach it. Path detects such a partition by attempts that fail at several servers while
// none answers, and its end by new connections. Sender makes each attempt on the direct path or, during a
// partition, through a peer. Server makes the attempts of peers; it always uses the direct path, so that a
// request is passed on once at most.
//
// The instance that received the request from its caller selects the server and is responsible for
// limits, budgets, retries and the answer. The peer applies the backpressure that the server has requested
// from it, and reports whether the request may have run.
package detour
