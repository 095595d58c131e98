// Package configuration keeps one instance's copy of the rows that are in force,
// and hands others the rows they lack.
package configuration
