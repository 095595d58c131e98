// Package operator serves the operators' interface as JSON over HTTP, and has the
// client of it that the command line uses.
package operator
