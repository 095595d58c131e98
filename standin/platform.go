package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/memory"
)

const versionHeader = "Version"

type platformCommand struct {
	Address string `default:"127.0.0.1:0" help:"Address to listen at, host:port."`
}

// platformReady is the line that a platform announces.
type platformReady struct {
	Address string `json:"address"`
}

// Run serves until the context ends.
func (p *platformCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.Address)
	if err != nil {
		return errors.Wrap(err, "--address")
	}
	if err := announce(platformReady{Address: listener.Addr().String()}); err != nil {
		return err
	}
	return serve(ctx, listener, newPlatformServer(memory.NewStore()))
}

func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return server.Shutdown(bound)
}

// platformFaults are the faults of the platform that can be switched on.
type platformFaults struct {
	Down        bool                `json:"down"`
	SlowBy      lovageyard.Duration `json:"slow-by"`
	LoseAnswers bool                `json:"lose-answers"`
	ListLag     lovageyard.Duration `json:"list-lag"`
}

type platformServer struct {
	store *memory.Store
	mux   *http.ServeMux

	mu     sync.Mutex
	faults platformFaults
	list   lovageyard.Listing
	listAt time.Time
}

func newPlatformServer(s *memory.Store) *platformServer {
	p := &platformServer{store: s, mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /tables/{table}/rows/{key}", p.read)
	p.mux.HandleFunc("GET /changes", p.changes)
	p.mux.HandleFunc("POST /transactions", p.transact)
	p.mux.HandleFunc("GET /objects/{name}", p.get)
	p.mux.HandleFunc("PUT /objects/{name}", p.put)
	p.mux.HandleFunc("GET /instances", p.instances)
	p.mux.HandleFunc("PUT /standin/faults", p.setFaults)
	p.mux.HandleFunc("PUT /standin/entry-instances", p.setEntryInstance)
	p.mux.HandleFunc("PUT /standin/backend-servers", p.setBackendServers)
	return p
}

// ServeHTTP answers one call, with the faults that are switched on.
func (p *platformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := p.currentFaults()
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	time.Sleep(faults.SlowBy.Std())
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if faults.LoseAnswers && r.Method != http.MethodGet {
		p.mux.ServeHTTP(&lostAnswer{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

// lostAnswer drops an answer.
type lostAnswer struct {
	header http.Header
}

func (l *lostAnswer) Header() http.Header {
	return l.header
}

func (l *lostAnswer) Write(b []byte) (int, error) {
	return len(b), nil
}

func (l *lostAnswer) WriteHeader(int) {}

func (p *platformServer) currentFaults() platformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *platformServer) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults platformFaults
	if !decode(w, r, &faults) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *platformServer) setEntryInstance(w http.ResponseWriter, r *http.Request) {
	var i lovageyard.EntryInstance
	if decode(w, r, &i) {
		p.store.SetEntryInstance(i)
	}
}

func (p *platformServer) setBackendServers(w http.ResponseWriter, r *http.Request) {
	var servers []lovageyard.BackendServer
	if !decode(w, r, &servers) {
		return
	}
	for _, b := range servers {
		p.store.SetBackendServer(b)
	}
}

func (p *platformServer) read(w http.ResponseWriter, r *http.Request) {
	row, err := p.store.Read(r.Context(), r.PathValue("table"), r.PathValue("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	encode(w, http.StatusOK, row)
}

func (p *platformServer) changes(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a version", http.StatusBadRequest)
		return
	}
	changes, _ := p.store.Changes(r.Context(), strings.Split(r.URL.Query().Get("tables"), ","), after)
	encode(w, http.StatusOK, changes)
}

func (p *platformServer) transact(w http.ResponseWriter, r *http.Request) {
	var t lovageyard.Transaction
	if !decode(w, r, &t) {
		return
	}
	version, err := p.store.Transact(r.Context(), t)
	var conflict *lovageyard.ConflictError
	if errors.As(err, &conflict) {
		encode(w, http.StatusConflict, platform.Conflict{Row: conflict.Row})
		return
	}
	encode(w, http.StatusOK, platform.Committed{Version: version})
}

func (p *platformServer) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.store.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatInt(o.Version, 10))
	_, _ = w.Write(o.Body)
}

func (p *platformServer) put(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.Header.Get(versionHeader), 10, 64)
	if err != nil {
		http.Error(w, versionHeader+": not a version", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	accepted, err := p.store.Put(r.Context(), lovageyard.Object{Name: r.PathValue("name"), Version: version, Body: body})
	if err != nil {
		encode(w, http.StatusConflict, platform.Conflict{})
		return
	}
	encode(w, http.StatusOK, platform.Committed{Version: accepted})
}

// instances answers with the list, which is made anew only once the lag has passed.
func (p *platformServer) instances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listAt) >= p.faults.ListLag.Std() {
		p.list, _ = p.store.List(r.Context())
		p.listAt = time.Now()
	}
	encode(w, http.StatusOK, p.list)
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
