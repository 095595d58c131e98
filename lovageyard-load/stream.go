package main

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// stream is a sequence of equal requests, at a mean rate in requests a second.
type stream struct {
	class  string
	method string
	path   string
	rate   float64
	bytes  int
}

func parseStream(text string) (stream, error) {
	fields := strings.Split(text, ":")
	const wanted = 5
	if len(fields) != wanted {
		return stream{}, errors.Errorf("--stream: %q is not class:method:path:rate:bytes", text)
	}
	s := stream{class: fields[0], method: fields[1], path: fields[2]}
	var err error
	if s.rate, err = strconv.ParseFloat(fields[3], 64); err != nil || s.rate <= 0 {
		return s, errors.Errorf("--stream: rate %q in %q is not a number above 0", fields[3], text)
	}
	if s.bytes, err = strconv.Atoi(fields[4]); err != nil || s.bytes < 0 {
		return s, errors.Errorf("--stream: bytes %q in %q is not a number of at least 0", fields[4], text)
	}
	return s, nil
}

func parseNetworks(texts []string) ([]netip.Prefix, error) {
	var networks []netip.Prefix
	for _, text := range texts {
		p, err := netip.ParsePrefix(text)
		if err != nil || !p.Addr().Is4() || !p.Addr().IsLoopback() {
			return nil, errors.Errorf("--network: %q is not an IPv4 loopback prefix such as 127.1.0.0/16", text)
		}
		networks = append(networks, p.Masked())
	}
	return networks, nil
}

// clientAddress returns the address of the n-th client of a network. Each client is in a block of 256
// addresses of its own, since instances route by block.
func clientAddress(network netip.Prefix, n int) netip.Addr {
	raw := network.Addr().As4()
	raw[2] = byte(n)
	raw[3] = 1
	return netip.AddrFrom4(raw)
}
