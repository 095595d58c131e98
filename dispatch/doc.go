// Package dispatch decides, without I/O, which backend server gets a request, or that the
// request is refused and when its client should come back.
//
// The load that it answers: demand near or above what the servers carry, objects that run
// three times faster at a server that ran them lately, and several entry instances that
// share each server and learn of each other's requests only from the reports on answers.
// An object's requests therefore go to one home server in each region, the first of the
// object's rendezvous order that may get work. What leaves the region goes to the one of the
// other regions' homes that is first in that order, unless it is much later. Between the own
// region and the others the estimated completion time decides (distance, wait for a slot,
// work, speed and failures of late), and the share of work that leaves the region follows it
// slowly, and more slowly still on its way back, as each object that moves runs cold once.
// Work waits in the servers' own queues, which never idle while there is work; a request is
// refused at once if its home is full or can't answer in time.
//
// What all instances share is divided among them: the bound on requests to a cold server,
// and the budget of repeats.
package dispatch
