package main

import (
	"context"
	"sync"
	"time"
)

func init() { cases["second-answer"] = scenario{smallBounds, secondAnswer} }

// secondAnswer plays 2 of 16 servers that reject a part of their requests, and seconds in which 8 of them add a second
// answer to a part of their answers, which arrives late. A request that may not be repeated must not be
// refused as not run if it has run.
func secondAnswer(w *world) (int, error) {
	list, err := w.addServers(service{name: "charging", slots: 9, work: 600 * time.Millisecond}, 16)
	if err != nil {
		return couldntRun, err
	}
	w.configure(map[string]any{"r-charge": map[string]any{
		"Host": host, "Prefix": "/charge/", "Kind": "non_idempotent", "TimeoutMs": 1200, "GoalMs": 500, "Priority": 1,
		"Service": "charging", "Attempts": 2, "Sticky": true, "HomeRegions": []string{},
	}})
	if err := w.startInstances(); err != nil {
		return couldntRun, err
	}
	k := kind{name: "charge", method: "POST", path: "/charge/", deadline: 3 * time.Second, objects: 200, bodyBytes: 1200}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	var traffic sync.WaitGroup
	for _, z := range zones {
		traffic.Go(func() { newClients(w.record, w.instances, z).run(ctx, k, 190.0/6) })
	}
	for n := 0; ctx.Err() == nil; n++ {
		if w.trouble {
			// srv_grey, how shed: 2 of 16 servers reject 0.45 of their requests for 6 s.
			for i := range 2 {
				b := list[(2*n+i)%len(list)]
				w.record.add("trouble: %s rejects a part of its requests", b.id)
				b.set(func(b *backend) { b.shed = 0.45 })
			}
			// garble, how extra late: 8 of 16 servers add a second answer to 0.03 of their answers for 5 s.
			for i := range 8 {
				b := list[(2*n+i)%len(list)]
				w.record.add("trouble: %s adds second answers", b.id)
				b.set(func(b *backend) { b.extra = 0.03 })
			}
		}
		time.Sleep(5 * time.Second)
		for _, b := range list {
			b.set(func(b *backend) { b.extra = 0 })
		}
		time.Sleep(time.Second)
		for _, b := range list {
			b.set(func(b *backend) { b.shed = 0 })
		}
	}
	traffic.Wait()
	refused, twice := judge.refusedAndRan(), judge.ranTwice()
	w.record.say("%d answered 200, %d answered 503", judge.count(200), judge.count(503))
	for _, id := range refused {
		w.record.say("REFUSED: %s was answered %d and has run; the client's repetition has run too: %v", id, judge.statuses[id], judge.ranAgain(id))
	}
	for _, id := range twice {
		w.record.say("TWICE: %s ran %d times", id, judge.runs[id])
	}
	if judge.count(200) < 1000 {
		return couldntRun, nil
	}
	if len(refused)+len(twice) > 0 {
		return broken, nil
	}
	return held, nil
}
