package caller

import (
	"net/http"
	"strings"
)

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// addForwardedFor appends the caller's address to X-Forwarded-For.
func addForwardedFor(h http.Header, r *http.Request) {
	address := remoteAddr(r)
	if !address.IsValid() {
		return
	}
	addresses := append(h.Values("X-Forwarded-For"), address.Unmap().String())
	h.Set("X-Forwarded-For", strings.Join(addresses, ", "))
}
