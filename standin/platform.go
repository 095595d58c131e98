package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
)

type platformCommand struct {
	Address string `default:"127.0.0.1:0" help:"Address to listen at, host:port."`
}

// platformReady is the line of output that announces the platform's address.
type platformReady struct {
	Address string `json:"address"`
}

// Run serves the platform until the context is cancelled.
func (p *platformCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.Address)
	if err != nil {
		return errors.Wrap(err, "--address")
	}
	if err := announce(platformReady{Address: listener.Addr().String()}); err != nil {
		return err
	}
	store := fake.NewStore()
	defer store.Close()
	return serve(ctx, listener, newPlatformServer(store))
}

// serve serves until the context is cancelled, then waits up to 10 s for the requests in flight.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	timeoutCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return server.Shutdown(timeoutCtx)
}

// platformFaults is the body of the call that sets the platform's faults. LoseAnswers executes writes and
// closes the connection without an answer.
type platformFaults struct {
	Down        bool                `json:"down"`
	SlowBy      lovageyard.Duration `json:"slow-by"`
	LoseAnswers bool                `json:"lose-answers"`
	// ListLag delays changes of the lists of instances and servers.
	ListLag lovageyard.Duration `json:"list-lag"`
}

// platformServer is a fake store, with additional calls that set its faults and its lists.
type platformServer struct {
	store *fake.Store
	mux   *http.ServeMux

	mu      sync.Mutex
	listLag time.Duration
	copied  fake.Checkpoint
}

func newPlatformServer(s *fake.Store) *platformServer {
	p := &platformServer{store: s, mux: http.NewServeMux()}
	p.mux.HandleFunc("PUT /standin/faults", p.setFaults)
	p.mux.HandleFunc("PUT /standin/checkpoint", p.checkpoint)
	p.mux.HandleFunc("PUT /standin/restore", p.restore)
	p.mux.HandleFunc("PUT /standin/entry-instances", p.setEntryInstance)
	p.mux.HandleFunc("PUT /standin/backend-servers", p.setBackendServers)
	return p
}

// ServeHTTP dispatches calls below /standin/ to the platformServer, and all others to the store.
func (p *platformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	p.store.ServeHTTP(w, r)
}

func (p *platformServer) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults platformFaults
	if !decode(w, r, &faults) {
		return
	}
	storeFaults := fake.StoreFaults{Delay: faults.SlowBy.Std(), DropWriteResponses: faults.LoseAnswers}
	if faults.Down {
		storeFaults.Status = http.StatusServiceUnavailable
	}
	p.store.SetFaults(storeFaults)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = faults.ListLag.Std()
}

// checkpoint copies the store, for a later restore.
func (p *platformServer) checkpoint(http.ResponseWriter, *http.Request) {
	copied := p.store.Checkpoint()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = copied
}

// restore restores the store from the last copy.
func (p *platformServer) restore(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.Restore(p.copied)
}

func (p *platformServer) setEntryInstance(w http.ResponseWriter, r *http.Request) {
	var i lovageyard.EntryInstance
	if decode(w, r, &i) {
		p.changeRow(lovageyard.TableInstances, i.Name, i, i.State)
	}
}

func (p *platformServer) setBackendServers(w http.ResponseWriter, r *http.Request) {
	var servers []lovageyard.BackendServer
	if !decode(w, r, &servers) {
		return
	}
	for _, b := range servers {
		p.changeRow(lovageyard.TableBackends, b.Name, b, b.State)
	}
}

// changeRow writes or removes the row of an instance or a server, after the delay of the lists.
func (p *platformServer) changeRow(table, key string, value any, state lovageyard.InstanceState) {
	change := func() {
		if state == lovageyard.StateGone {
			p.store.Remove(platform.StoreTable(table), key)
			return
		}
		p.store.Put(platform.StoreTable(table), key, value)
	}
	p.mu.Lock()
	lag := p.listLag
	p.mu.Unlock()
	if lag <= 0 {
		change()
		return
	}
	time.AfterFunc(lag, change)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
