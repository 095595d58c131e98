// Package lookup decides which entry instances are returned to a client that looks them up.
//
// Clients connect to one of the returned instances at random. Selector returns a region's instances of high
// bandwidth while these have capacity, and all of them otherwise. It performs no I/O: it gets the instances, their
// utilisation and the time as input.
package lookup
