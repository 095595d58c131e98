package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the stand-in of the platform's store, in the form of its answers.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   string `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

// store is a stand-in of the platform's store: rows-get, rows-feed and rows-tx, linearizable, with all history.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	version int64
	changed chan struct{}
	began   time.Time
	address string
	server  *http.Server
}

func startStore() (*store, error) {
	s := &store{rows: make(map[[3]string]row), version: 1, changed: make(chan struct{}), began: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator or a server does; a nil value removes the row.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, Ver: s.version, Removed: value == nil}
	if value != nil {
		text, _ := json.Marshal(value)
		r.Value = base64.StdEncoding.EncodeToString(text)
	}
	s.rows[[3]string{table, "", key}] = r
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply is the body of the store's answers.
type reply struct {
	Rows    []row
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (s *store) send(w http.ResponseWriter, status int, r reply) {
	r.NowMs = time.Since(s.began).Milliseconds()
	if r.Rows == nil {
		r.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

// maxRows is the largest number of rows in one answer of rows-get.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	answer := reply{Ver: s.version}
	for _, r := range s.rows {
		if r.Table == q.Get("Table") && r.Part == q.Get("part") && !r.Removed && r.Key >= q.Get("From") &&
			(q.Get("Target") == "" || r.Key < q.Get("Target")) {
			answer.Rows = append(answer.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	time.Sleep(4 * time.Millisecond)
	s.send(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		answer := reply{Ver: s.version}
		for _, r := range s.rows {
			if r.Table == q.Get("Table") && r.Ver > after {
				answer.Rows = append(answer.Rows, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 || ctx.Err() != nil {
			sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Ver < answer.Rows[j].Ver })
			s.send(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var call struct{ Expected, Writes, Remove []row }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	for _, e := range append(append([]row{}, call.Writes...), call.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	answer := reply{Ver: s.version}
	conflict := false
	for _, e := range call.Expected {
		known, found := s.rows[[3]string{e.Table, e.Part, e.Key}]
		found = found && !known.Removed
		if found {
			answer.Rows = append(answer.Rows, known)
		}
		if found && known.Ver != e.Ver || !found && e.Ver != 0 {
			conflict = true
		}
	}
	if conflict {
		s.mu.Unlock()
		s.send(w, http.StatusPreconditionFailed, answer)
		return
	}
	s.version++
	for _, e := range call.Writes {
		s.rows[[3]string{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.version}
	}
	for _, e := range call.Remove {
		s.rows[[3]string{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.version, Removed: true}
	}
	s.wake()
	answer = reply{Ver: s.version}
	s.mu.Unlock()
	s.send(w, http.StatusOK, answer)
}
