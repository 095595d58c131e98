package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"lovageyard.example/lovageyard/platform/fake"
)

const (
	// poisonPrefix is the path prefix of poison requests, which crash each server that runs them.
	poisonPrefix   = lookUpPrefix + "deadly/"
	poisonInterval = 150 * time.Millisecond
	// poisonCrashLimit is the number of servers that a poison request may crash before it must be
	// quarantined, and poisonLateSends the number of sends that are allowed later than poisonBound after that.
	poisonCrashLimit = 3
	poisonLateSends  = 3
	poisonBound      = 4 * time.Second
)

// sendPoison repeats one poison request at random instances for the duration of the fault. Each attempt has a
// new request identity.
func (d *deployment) sendPoison(f fault) {
	path := fmt.Sprint(poisonPrefix, f.Target)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}
	for end, n := time.Now().Add(f.Duration), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("deadly-%d-%d", f.Target, n)
		address := d.instances[rand.IntN(len(d.instances))].endpoints().caller
		d.check.RecordSend(id, address, false)
		d.check.RecordPoison(id, path)
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			d.recordHarnessError(err)
			return
		}
		request.Host = requestHost
		fake.SetRequestHeaders(request.Header, id, "deadly", probeTimeout)
		d.setKey(request.Header, permanentAccount(0))
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		time.Sleep(poisonInterval)
	}
}

// makeCrashable makes a server crash on poison requests; a replacement starts after each crash.
func (d *deployment) makeCrashable(b *backend) {
	b.SetCrashPrefix(poisonPrefix, func(path string) {
		d.check.RecordCrash(path)
		if err := d.crash(b, restartDelay); err != nil {
			d.recordHarnessError(err)
		}
	})
}
