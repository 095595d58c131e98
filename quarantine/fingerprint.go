package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Content is the part of a request that a backend server acts on, and that is the same for all attempts at it.
// It excludes the request ID, and also the client's address: servers do not see it, and clients retry from
// other addresses.
type Content struct {
	// Caller identifies the client by its credentials; it is empty if the request has none.
	Caller string
	Method string
	Host   string
	// Target is the path and query exactly as the client sent them.
	Target string
	Body   []byte
}

// Fingerprint returns a 64-bit hash of the content.
func (c Content) Fingerprint() uint64 {
	d := xxhash.New()
	for _, text := range []string{c.Caller, c.Method, c.Host, c.Target} {
		// The length prefix prevents collisions between adjacent fields. Writes to a hash never fail.
		_, _ = d.WriteString(strconv.Itoa(len(text)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(text)
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// Format returns a fingerprint in hexadecimal, as log lines show it.
func Format(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}
