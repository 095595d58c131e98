// Package link sends requests to backend servers over connections that it keeps itself,
// and says of each failure whether the request may have run.
package link
