package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

func init() { cases["junk"] = scenario{smallBounds, junk} }

// junk plays servers that send bytes that are no answer in place of a part of their answers.
func junk(w *world) (int, error) {
	list, err := w.addServers(service{name: "statements", slots: 9, work: 400 * time.Millisecond}, 8)
	if err != nil {
		return couldntRun, err
	}
	w.configure(map[string]any{"r-tariff": map[string]any{
		"Host": host, "Prefix": "/tariff/", "Kind": "idempotent", "TimeoutMs": 3000, "GoalMs": 1200, "Priority": 2,
		"Service": "statements", "Attempts": 2, "Sticky": true, "HomeRegions": []string{},
	}})
	if err := w.startInstances(); err != nil {
		return couldntRun, err
	}
	ends := make(map[string]int)
	peaks := make(map[string]int)
	watched := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	go func() {
		defer close(watched)
		// As the platform does: a process that exceeds RamMb is killed, and restarted after a short delay.
		restart := make(map[*instance]time.Time)
		for ctx.Err() == nil {
			for _, e := range w.instances {
				if at, found := restart[e]; found {
					if time.Now().After(at) {
						delete(restart, e)
						_ = e.start()
					}
					continue
				}
				rss := e.rssMB()
				peaks[e.name] = max(peaks[e.name], rss)
				if rss > ramMB {
					w.record.add("platform: %s has %d MB, over RamMb", e.name, rss)
					ends[e.name]++
					e.signal(syscall.SIGKILL)
					e.wait()
					restart[e] = time.Now().Add(500 * time.Millisecond)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	k := kind{name: "tariff", method: "GET", path: "/tariff/", deadline: 10 * time.Second, objects: 200, idempotent: true}
	var traffic sync.WaitGroup
	for _, z := range zones {
		traffic.Go(func() { newClients(w.record, w.instances, z).run(ctx, k, 46.0/6) })
	}
	for n := 0; ctx.Err() == nil; n++ {
		if w.trouble {
			// garble: 2 of 8 servers spoil 0.02 of their answers for 5 s.
			w.record.add("trouble: %s and %s spoil answers", list[n%len(list)].id, list[(n+1)%len(list)].id)
			for i := range 2 {
				list[(n+i)%len(list)].set(func(b *backend) { b.junk = 0.02 })
			}
		}
		time.Sleep(5 * time.Second)
		for _, b := range list {
			b.set(func(b *backend) { b.junk = 0 })
		}
		time.Sleep(time.Second)
	}
	traffic.Wait()
	<-watched
	lost := judge.lost()
	w.record.say("%d answered 200, %d answered 503", judge.count(200), judge.count(503))
	w.record.say("peak memory in MB: %v; ends for memory: %v", peaks, ends)
	w.record.say("LOST: %d requests from kept connections that a sound server ran, of processes that ended for their memory, have no answer", len(lost))
	for _, id := range lost {
		w.record.add("LOST: %s", id)
	}
	if judge.count(200) < 500 {
		return couldntRun, nil
	}
	if len(lost) > 3 {
		return broken, nil
	}
	return held, nil
}
