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

// pageSize bounds the items of a page of a range.
const pageSize = 500

// item is an item of the store, or an event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	events    []item
	leases    map[uint64]*lease
	lastLease uint64
	// changed is closed and replaced at each change. While down is set, no call gets an answer.
	changed chan struct{}
	down    bool
	// busy says that each call is answered with 503.
	busy bool
}

func startStore() (*store, error) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease),
		lastLease: 1000, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(names.KeyCall, s.serveKey)
	mux.HandleFunc(names.RangeCall, s.serveRange)
	mux.HandleFunc(names.WatchCall, s.serveWatch)
	mux.HandleFunc(names.TxnCall, s.serveTxn)
	mux.HandleFunc(names.LeaseCall, s.serveLease)
	mux.HandleFunc(names.KeepCall, s.serveKeep)
	mux.HandleFunc(names.LeaseEndCall, s.serveEnd)
	go func() { _ = (&http.Server{Handler: s.guard(mux), ReadHeaderTimeout: time.Minute}).Serve(l) }()
	go s.expire()
	return s, nil
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// guard leaves calls without an answer while the store is down.
func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			<-r.Context().Done()
			return
		}
		time.Sleep(answerTime)
		if s.isBusy() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// setBusy lets the store answer each call with 503, or ends that.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// value returns the value of an item, empty if there is none.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// wake ends the waits of the watches. The lock is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets an item. The lock is held.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.events = append(s.events, i)
	s.wake()
}

// remove deletes an item. The lock is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// put writes an item of the operator or a server, unless the store is down.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.write(key, []byte(value), 0)
	}
}

// putQuietly changes the value of an item without an event, for a heartbeat that changes nothing but its count.
func (s *store) putQuietly(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.items[key]
	if s.down || !ok {
		return false
	}
	old.Value = []byte(value)
	s.items[key] = old
	return true
}

// drop deletes an item on behalf of the store itself.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.down && time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease. The lock is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease,
		"storeRevision": s.revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(found) > pageSize
	reply(w, http.StatusOK, map[string]any{
		"items": found[:min(len(found), pageSize)], "truncated": truncated, "storeRevision": s.revision,
	})
}

// eventsAfter returns the events after a revision. The lock is held.
func (s *store) eventsAfter(prefix string, after uint64) []item {
	events := []item{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed, down := s.eventsAfter(prefix, after), s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a transaction.
type transaction struct {
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

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range t.SetKeys {
		if _, ok := s.leases[set.Lease]; set.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, set := range t.SetKeys {
		s.write(set.Key, set.Value, set.Lease)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
