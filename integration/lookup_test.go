package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
)

// startWithLink starts another instance with a link bandwidth and further arguments.
func (e *edge) startWithLink(name, mbps string, args ...string) *edge {
	other := &edge{c: e.c, name: name, store: e.store, platform: e.platform, leaveWithin: e.leaveWithin}
	other.extraArgs = append([]string{"--link-mbps", mbps}, args...)
	other.start()
	return other
}

// returned returns the addresses in the answer of an instance to a look-up, in ascending order, or nil if it failed.
func (e *edge) returned() []string {
	response, err := http.Get(fake.LookUpURL(e.lookUps, edgeHost, "north", "north-1"))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer platform.LookUpResponse
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return slices.Sorted(slices.Values(answer.Addresses))
}

// untilReturned waits until some instances return exactly the given ones.
func untilReturned(what string, askers []*edge, want ...*edge) {
	var addresses []string
	for _, e := range want {
		addresses = append(addresses, e.address)
	}
	slices.Sort(addresses)
	for _, e := range askers {
		e.until(fmt.Sprint(what, " at ", e.name), func() bool { return slices.Equal(e.returned(), addresses) })
	}
}

// Over processes: look-ups leave out low-bandwidth instances only if there are large bodies. When the others are killed or
// are utilised, by their own measurement, clients must get the low-bandwidth ones.
func TestLookUpsFollowBandwidthAndUtilisation(t *testing.T) {
	t.Parallel()
	base := newEdge(t)
	base.stop()
	var high, low []*edge
	for n := range 3 {
		high = append(high, base.startWithLink(fmt.Sprint("high-", n), "200"))
	}
	for n := range 2 {
		low = append(low, base.startWithLink(fmt.Sprint("low-", n), "10"))
	}
	all := slices.Concat(high, low)
	untilReturned("all instances", all, all...)
	base.store.PutConfiguration(lovageyard.Configuration{
		Version: 2,
		Routes: []lovageyard.Route{{
			Name: "package", Host: edgeHost, Prefix: longPrefix, Idempotent: true, LargeResponses: true, Timeout: time.Second, Attempts: 2,
			Parts: []lovageyard.ServiceWeight{{Service: edgeService, Weight: 1}},
		}},
		Services: map[string]lovageyard.Service{edgeService: {Name: edgeService, HealthPath: "/health", MaxConnections: 400}},
	})
	untilReturned("high-bandwidth instances", all, high...)
	for _, e := range high {
		e.c.Assert(e.command.Process.Kill(), qt.IsNil)
	}
	untilReturned("low-bandwidth instances", low, low...)
	// Control alone uses more than this quota.
	var busy []*edge
	for n := range 3 {
		busy = append(busy, base.startWithLink(fmt.Sprint("busy-", n), "200", "--cpu-quota", "0.0001"))
	}
	all = slices.Concat(low, busy)
	untilReturned("all instances", all, all...)
}
