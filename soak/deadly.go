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
	// deadlyPrefix begins the paths of requests that end each server which runs them.
	deadlyPrefix = lookUpPrefix + "deadly/"
	deadlyEvery  = 150 * time.Millisecond
	// deadlyEnds is how many servers one such request may end until it has to be stopped, and deadlySends
	// how many sends are allowed for later than deadlyBound after that.
	deadlyEnds  = 3
	deadlySends = 3
	deadlyBound = 4 * time.Second
)

// sendDeadly sends one deadly request again and again, at any instance, each time as a new attempt.
func (y *yard) sendDeadly(f fault) {
	path := fmt.Sprint(deadlyPrefix, f.Target)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}
	for end, n := time.Now().Add(f.For), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("deadly-%d-%d", f.Target, n)
		address := y.instances[rand.IntN(len(y.instances))].place().caller
		y.check.Send(id, address, false)
		y.check.Deadly(id, path)
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			y.problem(err)
			return
		}
		request.Host = requestHost
		fake.SetRequestHeaders(request.Header, id, "deadly", probeTimeout)
		y.setKey(request.Header, lastingAccount(0))
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		time.Sleep(deadlyEvery)
	}
}

// makeFrail lets a server end under deadly requests; another one takes its place.
func (y *yard) makeFrail(b *backend) {
	b.SetCrashPrefix(deadlyPrefix, func(path string) {
		y.check.DeadlyEnded(path)
		if err := y.crash(b, restartAfter); err != nil {
			y.problem(err)
		}
	})
}
