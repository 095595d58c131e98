// Package integration tests whole deployments: real processes of all programs, built once.
package integration
