package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/quarantine"
)

func TestFingerprintDependsOnEachField(t *testing.T) {
	c := qt.New(t)
	base := quarantine.Content{Caller: "10.0.0.1", Method: "GET", Host: "a.example", Target: "/x/1?q", Body: []byte("b")}
	c.Assert(base.Fingerprint(), qt.Equals, base.Fingerprint())
	seen := map[uint64]bool{base.Fingerprint(): true}
	for _, change := range []func(r *quarantine.Content){
		func(r *quarantine.Content) { r.Caller = "10.0.0.2" },
		func(r *quarantine.Content) { r.Method = "POST" },
		func(r *quarantine.Content) { r.Host = "b.example" },
		func(r *quarantine.Content) { r.Target = "/x/1?p" },
		func(r *quarantine.Content) { r.Body = []byte("c") },
		func(r *quarantine.Content) { r.Host, r.Target = "a.example/x", "/1?q" },
		func(r *quarantine.Content) { r.Target, r.Body = "/x/1?qb", nil },
	} {
		r := base
		change(&r)
		c.Assert(seen[r.Fingerprint()], qt.IsFalse, qt.Commentf("%+v", r))
		seen[r.Fingerprint()] = true
	}
}
