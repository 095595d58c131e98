package link

import (
	"syscall"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// notReached returns the failure of a request for which no connection could be opened.
func notReached(err error) *lovageyard.RequestError {
	failure := lovageyard.NotRun("the backend server could not be reached", err)
	failure.ServerExited = isRefused(err)
	return failure
}

// withheld returns the failure of a request that the server did not want any more when it could be sent.
func withheld() *lovageyard.RequestError {
	failure := lovageyard.NotRun("the backend server has asked for no more meanwhile", nil)
	failure.Throttled = true
	return failure
}

// isRefused says whether a connection was refused, as nothing listens at the port.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isBroken says whether the server's side of a connection ended it.
func isBroken(err error) bool {
	return errors.Is(err, errClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
