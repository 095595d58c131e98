// Package move carries out a class's plan at one entry instance: it moves buckets of requests between
// sites so that the share of requests that moves in any interval stays within the class's cap.
//
// A Stepper selects the buckets that move in each step. A Limiter, a token bucket that is refilled by
// arriving requests, admits requests of these buckets to their new site. At the end of a step, the
// admitted fraction of each bucket stays at the new site. The package does no I/O; the time and the
// demand are arguments.
package move
