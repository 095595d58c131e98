package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// limit is how long a case may run.
const limit = 115 * time.Second

// host is the host of all routes.
const host = "jepu9.example"

// world is what a case plays in.
type world struct {
	record    *record
	store     *store
	instances []*instance
	backends  []*backend
	// trouble is false if the case is played without its disruption.
	trouble bool
	stop    chan struct{}
	ended   sync.Once
}

// scenario is one case of the review.
type scenario struct {
	bounds bounds
	play   func(w *world) (int, error)
}

// cases are the cases of the review.
var cases = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(couldntRun)
	}
	s, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldntRun)
	}
	os.Exit(run(s, os.Args[2]))
}

func run(s scenario, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.say("%v", err)
		return couldntRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	w.store, err = startStore()
	if err != nil {
		rec.say("%v", err)
		return couldntRun
	}
	defer w.store.close()
	w.instances, err = newInstances(6, s.bounds, w.store.address, dir, rec)
	if err != nil {
		rec.say("%v", err)
		return couldntRun
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		rec.say("ended early")
		w.end()
		rec.close()
		os.Exit(couldntRun)
	}()
	status, err := s.play(w)
	if err != nil {
		rec.say("the case couldn't run: %v", err)
		return couldntRun
	}
	return status
}

// addServers starts servers of a service, one a zone in turn, which register and renew their entries.
func (w *world) addServers(s service, count int) ([]*backend, error) {
	var list []*backend
	for i := range count {
		b, err := startBackend(s, fmt.Sprintf("i-%s-%02d", s.name, i), zones[i%len(zones)][0], w.record)
		if err != nil {
			return nil, err
		}
		list = append(list, b)
		go func() {
			for sequence := 1; ; sequence++ {
				w.store.put("servers", b.id, b.entry(sequence))
				select {
				case <-w.stop:
					return
				case <-time.After(1500 * time.Millisecond):
				}
			}
		}()
	}
	w.backends = append(w.backends, list...)
	return list, nil
}

// configure writes the configuration.
func (w *world) configure(routes map[string]any) {
	services := make(map[string]any)
	for _, b := range w.backends {
		services[b.name] = map[string]any{"HealthPath": "/healthz", "MaxConns": 390, "Proto": "h1", "Tls": false, "ColdS": 3.0, "ColdRateS": 9.1}
	}
	w.store.put("op", "config", map[string]any{
		"Version": "00000007", "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// startInstances starts all instances and waits until they are ready.
func (w *world) startInstances() error {
	for _, e := range w.instances {
		if err := e.start(); err != nil {
			return err
		}
	}
	if !awaitReady(w.instances, 20*time.Second) {
		return fmt.Errorf("not all instances became ready")
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(6 * time.Second)
	return nil
}

// end ends all processes that were started.
func (w *world) end() {
	w.ended.Do(func() { close(w.stop) })
	for _, e := range w.instances {
		if e.cmd != nil && e.running() {
			e.signal(syscall.SIGKILL)
			e.wait()
		}
	}
}
