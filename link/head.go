package link

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/transfer"
)

// Errors of heads that http.ReadResponse accepts, but not as they were sent.
var (
	// errFolded reports a line that continues the value of the line before. RFC 9112, section 5.2, has a proxy refuse
	// such a response or unfold its lines.
	errFolded = errors.New("a line of the head begins with a blank")
	// errEncoding reports chunks in a version without them. RFC 9112, section 6.1, has a client treat the framing of
	// such a response as faulty.
	errEncoding = errors.New("Transfer-Encoding in HTTP/1.0")
)

// encodingField begins the line of the field Transfer-Encoding.
const encodingField = "Transfer-Encoding:"

// headScanner looks at the bytes of one head for what http.ReadResponse leaves no trace of: lines that it unfolds, and
// a field Transfer-Encoding that it removes.
type headScanner struct {
	// start holds the first n bytes of the current line.
	start [len(encodingField)]byte
	n     int
	// ended means that the head has ended.
	ended bool
	// folded means that a line begins with a blank, and encoded that there is a field Transfer-Encoding.
	folded  bool
	encoded bool
}

// scan takes the next bytes of a response, of which only those of its head count.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.ended {
		line, rest, whole := bytes.Cut(p, []byte("\n"))
		s.n += copy(s.start[s.n:], line)
		if whole {
			s.endLine()
		}
		p = rest
	}
}

// endLine evaluates the current line.
func (s *headScanner) endLine() {
	start := s.start[:s.n]
	switch {
	case len(bytes.TrimRight(start, "\r")) == 0:
		s.ended = true
	case start[0] == ' ', start[0] == '\t':
		s.folded = true
	case bytes.EqualFold(start, []byte(encodingField)):
		s.encoded = true
	}
	s.n = 0
}

// readNextHead reads the next head, interim or final, and checks what net/http does not.
func (c *conn) readNextHead(r *http.Request) (*http.Response, error) {
	// What is buffered already does not pass the limiter again.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.scanner = headScanner{}
	c.head.scanner.scan(buffered)
	if c.head.scanner.folded {
		return nil, errFolded
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	if c.head.scanner.encoded && !response.ProtoAtLeast(1, 1) {
		return nil, errEncoding
	}
	if err := transfer.CheckHead(response); err != nil {
		return nil, err
	}
	return response, nil
}
