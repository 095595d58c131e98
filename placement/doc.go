// Package placement decides which site serves each bucket of a class's requests. It picks the site
// with the lowest latency that has capacity left beyond the headroom, and moves a bucket if its site
// is drained, down or overloaded, or if a nearer site has capacity.
//
// The package does no I/O: a round maps measurements and a time to a plan and the reason for it.
// Entry instances carry a plan out in steps within the class's cap; see package move.
package placement
