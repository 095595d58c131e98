package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// TestChargesRunOnceAfterARestoreOfThePlatform repeats charges, at other instances first, after the platform was
// restored from a copy that is older than their claims.
func TestChargesRunOnceAfterARestoreOfThePlatform(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	cc := &chargeClient{deployment: d, client: &http.Client{Timeout: 3 * time.Second}, results: make(map[lovageyard.Verdict]int)}
	const charges = 20
	d.put("http://"+d.platform+"/standin/checkpoint", struct{}{})
	for n := range charges {
		d.c.Assert(d.sendCharge(cc, n, n), qt.Equals, http.StatusOK)
	}
	d.put("http://"+d.platform+"/standin/restore", struct{}{})
	for offset := range d.entries {
		for n := range charges {
			d.sendCharge(cc, n, n+offset+1)
		}
	}
	for n := range charges {
		d.until("the answer again", func() bool { return d.sendCharge(cc, n, n+1) == http.StatusOK })
	}
	d.until("a new key", func() bool { return d.sendCharge(cc, charges, 0) == http.StatusOK })
	for key, n := range d.runsByKey() {
		d.c.Check(n, qt.Equals, 1, qt.Commentf("%s ran %d times", key, n))
	}
}

// sendCharge sends charge n to an instance, counted round, and returns the status of the answer, or 0.
func (d *deployment) sendCharge(cc *chargeClient, n, instance int) int {
	status, _, err := cc.send(d.entries[instance%len(d.entries)], fmt.Sprint("key-", n))
	if err != nil {
		return 0
	}
	return status
}
