// Package timer implements lovageyard.Timer: Clock uses the machine's clocks, and Manual has a time that
// tests advance explicitly.
package timer
