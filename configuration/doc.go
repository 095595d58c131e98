// Package configuration holds an instance's replica of the configuration rows of the platform.
// The replica is updated with versioned changes, never goes back to an older version, and
// supplies the changes that other replicas lack. It also decodes the rows and caches the results.
package configuration
