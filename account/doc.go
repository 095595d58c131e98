// Package account maps the key of a request to the client account that it belongs to. It holds only digests of
// the keys, so that neither logging a registry nor a dump of its memory reveals a key.
package account
