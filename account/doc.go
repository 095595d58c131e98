// Package account maps the key of a request to the client account that it belongs to. It holds digests of the
// keys only, so that neither memory nor log lines contain a key.
package account
