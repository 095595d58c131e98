package transfer

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Errors of heads of responses that net/http accepts.
var (
	errStatus   = errors.New("the status is below 100")
	errProtocol = errors.New("the server switches to another protocol")
)

// CheckHead returns an error if the head of a response, interim or final, is malformed although net/http accepts it, or
// switches to another protocol, for which no request asks.
func CheckHead(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue:
		return errStatus
	case r.StatusCode == http.StatusSwitchingProtocols:
		return errProtocol
	}
	return checkNames(r.Header)
}

// CheckTrailer returns an error if the trailer of a response is malformed although net/http accepts it. The trailer is
// complete once the body has been read to its end.
func CheckTrailer(r *http.Response) error {
	return checkNames(r.Trailer)
}

// checkNames returns an error if the name of a field holds a blank. net/http refuses all other malformed names, but takes
// "Content-Length : 5" for a field that it does not know.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return errors.Errorf("the name of the field %.60q holds a blank", name)
		}
	}
	return nil
}
