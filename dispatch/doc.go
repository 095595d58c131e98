// Package dispatch decides, without I/O, which backend server gets a request, or that the
// request is refused and when its client should come back.
//
// The load that it answers: demand near or above what the servers carry, objects that run
// three times faster where they ran lately, and several entry instances that share each
// server and learn of each other's requests only from the reports on answers. Each
// candidate's completion time is estimated (distance, wait for a slot, work on a warm or a
// cold object, speed of late) and the least one wins. Work waits in the servers' own
// queues, which are work-conserving; a request is refused only if no candidate can answer
// in time.
package dispatch
