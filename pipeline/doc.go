// Package pipeline runs pipelined HTTP/1.1 requests concurrently. The server of net/http handles the
// requests of a connection one after the other, so that a request waits for the work of those before it.
//
// A Pipeline wraps the listener and the handler of an http.Server. While the server handles a request of a
// connection, further complete requests of the connection are passed to the handler as they arrive, with
// a response writer that buffers. When the server reaches such a request, its response is written.
// The server remains the only one that delivers requests and writes to the connection, so that responses
// are in order, and a request that is not run ahead is handled as without the package.
//
// The wrapped connection passes the server no bytes beyond the end of the request that the server reads.
// The server reads one byte in the background during each request, to notice a disconnect. The wrapped
// connection uses this call to read further requests, so that it needs no goroutine and no deadlines of
// its own.
package pipeline
