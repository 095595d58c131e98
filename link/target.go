package link

import (
	"net/url"
	"strings"
)

// targetURL returns a URL that is written to the request line exactly as the client sent it.
func targetURL(r Request) *url.URL {
	if strings.HasPrefix(r.Target, "//") {
		// An opaque part that begins with two slashes would be written with a scheme.
		path, query, _ := strings.Cut(r.Target, "?")
		return &url.URL{Path: path, RawPath: path, RawQuery: query, Host: r.Host}
	}
	return &url.URL{Opaque: r.Target, Host: r.Host}
}
