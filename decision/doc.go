// Package decision writes routing and placement decisions as structured log lines. Log formats the decisions;
// Sink writes log lines in the background and drops some of them rather than delay requests.
package decision
