// Package settings reads a program's settings from flags and environment variables.
package settings
