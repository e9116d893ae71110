package casekit3

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leaseCheckInterval is the time between two checks for leases that have ended.
const leaseCheckInterval = 20 * time.Millisecond

// item is an item of the store, and an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the platform: its metadata store and the duty of promoting a server.
type Store struct {
	// promote carries out a promotion, and returns the HTTP status.
	promote func(service, id string, fence uint64) int

	mu        sync.Mutex
	changed   chan struct{}
	items     map[string]item
	history   []item
	revision  uint64
	lastLease uint64
	leases    map[uint64]lease
}

// NewStore returns a store. Promote carries out a promotion, and returns the HTTP status.
func NewStore(promote func(service, id string, fence uint64) int) *Store {
	return &Store{
		promote: promote, changed: make(chan struct{}), items: make(map[string]item), revision: 100,
		leases: make(map[uint64]lease),
	}
}

// Serve serves the store until the process ends.
func (s *Store) Serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(names.KeyCall, s.getKey)
	mux.HandleFunc(names.RangeCall, s.getRange)
	mux.HandleFunc(names.WatchCall, s.watch)
	mux.HandleFunc(names.TxnCall, s.commit)
	mux.HandleFunc(names.LeaseCall, s.grant)
	mux.HandleFunc(names.KeepCall, s.keep)
	mux.HandleFunc(names.LeaseEndCall, s.endLease)
	mux.HandleFunc("POST /failover", s.failover)
	go s.expireLeases()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	_ = server.Serve(l)
}

func (s *Store) expireLeases() {
	for range time.Tick(leaseCheckInterval) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// dropLease ends a lease and removes its keys. The lock is held.
func (s *Store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// Configure writes the configuration, as the operator does.
func (s *Store) Configure(value []byte) { s.Put(names.ConfigurationKey, value) }

// Put writes an item without a lease, as servers and the operator do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: value})
}

// write writes an item at the current revision. The lock is held.
func (s *Store) write(i item) {
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.record(i)
}

// remove removes a key. The lock is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

// maxPage is the number of items of a page.
const maxPage = 500

func (s *Store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("pathPrefix")) && key > r.FormValue("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{
		"items": found[:min(len(found), maxPage)], "truncated": len(found) > maxPage, "storeRevision": s.revision,
	})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("pathPrefix")) {
				events = append(events, i)
			}
		}
		response := map[string]any{"events": events, "storeRevision": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, response)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a transaction.
type transaction struct {
	Expected []item   `json:"expected"`
	SetKeys  []item   `json:"setKeys"`
	Delete   []string `json:"delete"`
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Expected {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.SetKeys {
		if _, ok := s.leases[i.Lease]; i.Lease > 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, i := range t.SetKeys {
		s.write(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.lastLease, "ttlMs": body.TTLMs})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
}

func (s *Store) failover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseUint(r.Header.Get(names.FenceHeader), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.promote(body.Service, body.ID, fence))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
