package link

import (
	"bytes"
	"io"
)

// firstStepBytes is the initial size of the buffer for a body of unknown length.
const firstStepBytes = 4 << 10

// Reserve is called before memory for a body is allocated, with the total number of bytes for that body. Its error
// ends the reading.
type Reserve func(bytes int64) error

// ReadBody reads a body into memory. length is the declared length, or -1; a body of unknown length is read in
// steps that double the buffer. reserve may be nil; a declared length is then trusted only up to maxPreallocBytes.
func ReadBody(r io.Reader, length int64, reserve Reserve) ([]byte, error) {
	if reserve == nil {
		reserve = func(int64) error { return nil }
		length = min(length, maxPreallocBytes)
	}
	size := length
	if size < 0 {
		size = firstStepBytes
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	// The end of a body of known length may be found only by a further read, for which there must be room.
	body := make([]byte, 0, size+bytes.MinRead)
	for {
		if len(body) == cap(body) {
			size = 2 * int64(cap(body))
			if err := reserve(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
