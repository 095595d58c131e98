// Package utilisation measures how much of its processor quota and of its network link an instance uses.
//
// Meter averages over a few seconds and performs no I/O: it reads totals from a Source. Process is the Source of the
// running process: it reads the processor time from the operating system and counts the bytes of clients' connections.
package utilisation
