// Package operator implements the operators' interface, JSON over HTTP, and its client, which the
// command line uses.
//
// Operators read the state of an instance, change request classes, drain sites and settle
// charges. Writes use optimistic concurrency control: each names the version that the operator
// read, and a conflict is reported with the current value. If the response to a write is lost,
// the row is read back to determine whether the write took effect.
package operator
