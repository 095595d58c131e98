// Package footprint bounds the bytes that an entry instance holds for requests and responses.
//
// It is intended for instances with little memory and large bodies whose clients or servers read slowly: a few
// hundred of them would exceed the process's memory limit, which ends every request in flight. Pool admits a
// request by the bytes that it may hold, before they are read. A part of the budget is reserved for small
// requests, so that slow large ones do not keep them out, and the bytes in flight to one server are limited.
//
// The package performs no I/O; time and randomness are inputs.
package footprint
