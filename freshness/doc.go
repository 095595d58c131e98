// Package freshness tracks how long ago the current configuration of an instance was confirmed to be the
// platform's newest. An instance whose confirmation is too old must not rely on anything that may have changed
// since.
//
// Clocks of different machines are never compared. All times are readings of one machine's monotonic clock,
// which also advances while the machine is suspended; other machines report ages.
package freshness
