package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// headScanner finds the end of a request's head: the first empty line after the request line. Lines end with LF,
// or with CR and LF, as net/http accepts them. Empty lines before the request line belong to the head.
type headScanner struct {
	// begun is set after the first byte of the request line.
	begun bool
	// lineBytes is the number of bytes of the current line so far, and lastCR whether it consists of one CR.
	lineBytes int
	lastCR    bool
}

// scan returns the number of bytes of p that belong to the head, and whether it is complete.
func (s *headScanner) scan(p []byte) (end int, complete bool) {
	for end < len(p) {
		i := bytes.IndexByte(p[end:], '\n')
		line := p[end:]
		if i >= 0 {
			line = p[end : end+i]
		}
		if len(line) > 0 {
			s.lastCR = s.lineBytes == 0 && len(line) == 1 && line[0] == '\r'
			s.lineBytes += len(line)
		}
		empty := s.lineBytes == 0 || s.lastCR
		if i < 0 {
			return len(p), false
		}
		end += i + 1
		if empty && s.begun {
			return end, true
		}
		s.begun = s.begun || !empty
		s.lineBytes, s.lastCR = 0, false
	}
	return end, false
}

// parse returns the request of a complete head, or nil if it must be left to net/http: if it may have a body,
// asks for another protocol, or is one that net/http may reject.
func parse(head []byte) *http.Request {
	unread := bytes.NewReader(head)
	reader := bufio.NewReader(unread)
	r, err := http.ReadRequest(reader)
	if err != nil || reader.Buffered() > 0 || unread.Len() > 0 {
		return nil
	}
	if !allowsAhead(r) || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header["Expect"] != nil ||
		r.URL.Host != "" || !isPlainHost(r.Host) {
		return nil
	}
	for name, values := range r.Header {
		if !isToken(name) {
			return nil
		}
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
				return nil
			}
		}
	}
	return r
}

// allowsAhead reports whether requests behind r may run before it is answered. RFC 9112, section 9.3.2,
// permits that only among safe methods. Behind other protocols and versions, further bytes may not be requests.
func allowsAhead(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) &&
		r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Header["Upgrade"] == nil
}

// isPlainHost reports whether a Host header is certain to be accepted by net/http.
func isPlainHost(host string) bool {
	return host != "" && !strings.ContainsFunc(host, func(r rune) bool {
		return !isAlphanumeric(r) && !strings.ContainsRune("-._:[]", r)
	})
}

// isToken reports whether a header name is certain to be accepted by net/http.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return !isAlphanumeric(r) && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}

func isAlphanumeric(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
}

func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == 0x7f
}
