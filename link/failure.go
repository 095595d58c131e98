package link

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// unreachableError returns the failure of a request for which no connection could be opened.
func unreachableError(err error) *lovageyard.RequestError {
	failure := lovageyard.NotRun("the backend server could not be reached", err)
	failure.ServerExited = isRefused(err)
	return failure
}

// withheldError returns the failure of a request that was not sent because the server was no longer to get
// requests once the connection was open.
func withheldError() *lovageyard.RequestError {
	failure := lovageyard.NotRun("the backend server takes no more requests meanwhile", nil)
	failure.Throttled = true
	return failure
}

// isRefused reports whether a connection was refused because nothing listens at the port.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isTimeout reports whether nothing came from the server in time, or until the request was given up.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.Canceled) || errors.As(err, &timeout) && timeout.Timeout()
}

// isConnClosed reports whether the server closed or reset the connection.
func isConnClosed(err error) bool {
	return errors.Is(err, errClosedBeforeResponse) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
