// Package caller serves the callers' listener: look-ups, and requests that it forwards
// to backend servers.
package caller
