package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Content is what makes two requests the same for a backend server, whatever identity each attempt has
// of its own. The address that an attempt comes from is none of it: no server sees that, and callers
// come back from other addresses.
type Content struct {
	// Caller is who asks, by its credentials; "" if it has none.
	Caller string
	Method string
	Host   string
	// Target is the path and query as the client wrote them.
	Target string
	Body   []byte
}

// Fingerprint returns a hash of a request's content.
func (c Content) Fingerprint() uint64 {
	d := xxhash.New()
	for _, text := range []string{c.Caller, c.Method, c.Host, c.Target} {
		// The length keeps neighbouring fields apart. A hash's writes never fail.
		_, _ = d.WriteString(strconv.Itoa(len(text)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(text)
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// Format returns a fingerprint as logs show it.
func Format(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}
