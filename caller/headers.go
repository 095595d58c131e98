package caller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of the headers without those that concern one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// addForwardedFor adds the caller's address to the list of those that the request came through.
func addForwardedFor(h http.Header, r *http.Request) {
	address := remoteAddr(r)
	if !address.IsValid() {
		return
	}
	through := append(h.Values("X-Forwarded-For"), address.Unmap().String())
	h.Set("X-Forwarded-For", strings.Join(through, ", "))
}
