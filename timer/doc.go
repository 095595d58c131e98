// Package timer holds the timer service: one that follows the clock, and one that tests move by hand.
package timer
