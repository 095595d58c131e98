// Package move carries out shifts of a class's work at one entry instance, so that
// the share of work that moves in any window of one interval stays within the cap.
//
// A Stepper owns which part of each bucket moves next; a Gate counts the requests
// of the part that is moving, and admits each to the new site only while the cap
// allows. Both take the time and the demand as input and do no I/O.
package move
