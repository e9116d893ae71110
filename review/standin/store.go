package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items in a page of a range.
const maxPageItems = 500

// storeItem is an item of the store, or the event of its change.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		revision: 100, items: make(map[string]storeItem), leases: make(map[uint64]*lease), last: 1000,
		changed: make(chan struct{}),
	}
}

// handler returns the calls of PROTOCOL.md on the store.
func (s *store) handler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /currantloom/kv-key", s.serveKey)
	mux.HandleFunc(names.RangeCall, s.serveRange)
	mux.HandleFunc(names.WatchCall, s.serveWatch)
	mux.HandleFunc(names.TxnCall, s.serveTxn)
	mux.HandleFunc(names.LeaseCall, s.serveLease)
	mux.HandleFunc(names.KeepCall, s.serveKeep)
	mux.HandleFunc(names.LeaseEndCall, s.serveLeaseEnd)
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// notify wakes the waiting watches. The lock is held.
func (s *store) notify(event storeItem) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an item. The lock is held.
func (s *store) set(key string, value []byte, leaseID, revision uint64) {
	i := storeItem{Key: key, Value: value, Revision: revision, Created: revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.notify(i)
}

// remove removes an item. The lock is held.
func (s *store) remove(key string, revision uint64) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.notify(storeItem{Key: key, Revision: revision, Deleted: true})
	}
}

// put writes an item for an operator or an upstream.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0, s.revision)
}

// drop removes an item for the platform.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key, s.revision)
}

// expire ends the leases that have run out.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The lock is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key, s.revision)
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		storeItem
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("pathPrefix"), r.FormValue("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []storeItem{}
	for _, key := range keys[:min(maxPageItems, len(keys))] {
		items = append(items, s.items[key])
	}
	reply(w, map[string]any{
		"items": items, "truncated": len(keys) > maxPageItems, "storeRevision": s.revision,
	})
}

// eventsAfter returns the changes after a revision, and the channel that is closed by the next one.
func (s *store) eventsAfter(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := s.eventsAfter(r.FormValue("pathPrefix"), after)
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
				continue
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended {
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

// txn is a transaction of the store.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"setKeys"`
	Delete []string `json:"delete"`
}

// forbidden reports whether the transaction writes a key that nodes may not write.
func (t txn) forbidden() bool {
	keys := slices.Clone(t.Delete)
	for _, k := range t.SetKeys {
		keys = append(keys, k.Key)
	}
	return slices.ContainsFunc(keys, func(key string) bool {
		return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
	})
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.forbidden() {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []storeItem{s.items[e.Key]}})
			return
		}
	}
	for _, k := range t.SetKeys {
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, k := range t.SetKeys {
		s.set(k.Key, k.Value, k.Lease, s.revision)
	}
	for _, key := range t.Delete {
		s.remove(key, s.revision)
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMS < minLeaseTTL.Milliseconds() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.leases[s.last] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.last, "ttlMs": body.TTLMS})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(_ http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}
