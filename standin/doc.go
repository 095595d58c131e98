// Command standin runs test doubles of the platform and of backend servers, for tests,
// trials and the demo. Once it listens, it prints one line of JSON with its addresses.
// Faults are set by PUT /standin/faults, and the counters of a server are read by
// GET /standin/counts.
package main
