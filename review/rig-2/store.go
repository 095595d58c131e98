package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row in the store's wire format.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   string `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

type rowID struct{ table, key string }

// store is a stand-in of the platform's metadata store: rows in memory, whole reads, a waiting feed and
// conditional transactions, all linearizable.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	version int64
	changed chan struct{}
	started time.Time
	address string
	// intercept may answer a call itself; it reports whether it has.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

func startStore() *store {
	s := &store{rows: make(map[rowID]row), version: 100, changed: make(chan struct{}), started: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes a row as the operator or a server does, and returns its version.
func (s *store) put(table, key string, value any) int64 {
	text, err := json.Marshal(value)
	check(err)
	return s.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text)})
}

func (s *store) remove(table, key string) int64 {
	return s.write(row{Table: table, Key: key, Removed: true})
}

func (s *store) write(rows ...row) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(rows)
}

func (s *store) writeLocked(rows []row) int64 {
	s.version++
	for _, r := range rows {
		r.Ver = s.version
		s.rows[rowID{r.Table, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

type storeAnswer struct {
	Rows    []row
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, version int64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(storeAnswer{Rows: rows, Ver: version, NowMs: time.Since(s.started).Milliseconds() + 1000})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := s.intercept; f != nil && f(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for id, known := range s.rows {
		if id.table == q.Get("Table") && !known.Removed && known.Key >= q.Get("From") && (!q.Has("Target") || known.Key < q.Get("Target")) {
			rows = append(rows, known)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for over := waitMs == 0; ; {
		s.mu.Lock()
		var rows []row
		for id, known := range s.rows {
			if id.table == q.Get("Table") && known.Ver > after {
				rows = append(rows, known)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Writes, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range t.Expected {
		known := s.rows[rowID{e.Table, e.Key}]
		version := known.Ver
		if known.Removed {
			version = 0
		}
		if version != e.Ver {
			var rows []row
			if version != 0 {
				rows = append(rows, known)
			}
			at := s.version
			s.mu.Unlock()
			s.answer(w, http.StatusPreconditionFailed, rows, at)
			return
		}
	}
	for i := range t.Remove {
		t.Remove[i].Removed, t.Remove[i].Value = true, ""
	}
	version := s.writeLocked(append(t.Writes, t.Remove...))
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, version)
}
