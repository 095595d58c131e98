// Package backend sends requests to backend servers over HTTP and judges each failure:
// it says not-run only when no byte of the request can have left this instance.
package backend
