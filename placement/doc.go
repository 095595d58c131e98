// Package placement decides which site serves each bucket of a class's work: the least
// latency that stays within headroom, moved in steps that stay within the cap. It is
// pure: measurements and time in, a plan and its reasons out.
package placement
