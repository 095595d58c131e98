package link

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes limits the head of a response, together with the interim responses before it. It is
// the size up to which memory for a response is not reserved.
const maxHeadBytes = 16 << 10

// errHeadTooLong reports a response whose head does not end within maxHeadBytes.
var errHeadTooLong = errors.Errorf("the head is longer than %d bytes", maxHeadBytes)

// headLimiter reads from a connection and limits the bytes that are read for the head of a response.
// Otherwise a server that sends bytes without a line end would fill the memory. Bodies have limits of
// their own; see ReadBody.
type headLimiter struct {
	reader io.Reader
	// inHead means that a head is being read, of which at most remaining bytes may still come.
	inHead    bool
	remaining int
	scanner   headScanner
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.scanner.scan(p[:n])
	if l.scanner.folded {
		return 0, errFolded
	}
	return n, err
}

// beginHead limits what is read from now on, apart from the bytes that are buffered already.
func (l *headLimiter) beginHead() {
	l.inHead, l.remaining = true, maxHeadBytes
}

// endHead ends the limit.
func (l *headLimiter) endHead() {
	l.inHead = false
}
