// Package decision records routing and placement decisions as structured log lines.
package decision
