package loomstandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxValueBytes is the maximum size of a value (docs/design.md, section 3, P4).
	maxValueBytes = 1 << 20
	// defaultWait and maxWait bound the duration of a blocking read, as in Consul's published API.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	indexHeader = "X-Consul-Index"
)

// Platform is a stand-in for the platform's key-value store and service catalog. It implements the subset of Consul's
// published HTTP API that currantloom uses.
type Platform struct {
	server   *http.Server
	listener net.Listener
	serving  sync.WaitGroup
	cancel   context.CancelFunc

	mu sync.Mutex
	// changed is closed and replaced to wake blocking reads.
	changed chan struct{}
	// index counts the changes of values and of the catalog.
	index  uint64
	values map[string]storedValue
	// previousValues holds the value that the last write of each key replaced.
	previousValues map[string]storedValue
	catalog        map[string]serviceInstance
	// visibleCatalog is the catalog that clients see; changes reach it after catalogDelay.
	visibleCatalog   map[string]serviceInstance
	catalogDelay     time.Duration
	timers           map[*time.Timer]struct{}
	down             bool
	responseDelay    time.Duration
	dropNextResponse bool
}

// storedValue is a value with the indexes of its creation and its last change.
type storedValue struct {
	data                     []byte
	createIndex, modifyIndex uint64
}

// serviceInstance is an instance of a service in the catalog. Without ServiceMeta it has been removed.
type serviceInstance struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	ServiceID      string            `json:"ServiceID"`
	ServiceName    string            `json:"ServiceName"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServicePort    int               `json:"ServicePort"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
	CreateIndex    uint64            `json:"CreateIndex"`
	ModifyIndex    uint64            `json:"ModifyIndex"`
}

// StartPlatform serves the platform on the listener. Changes of the catalog become visible after catalogDelay.
func StartPlatform(listener net.Listener, catalogDelay time.Duration) *Platform {
	p := &Platform{
		listener: listener, changed: make(chan struct{}), index: 1, values: make(map[string]storedValue),
		previousValues: make(map[string]storedValue), catalog: make(map[string]serviceInstance),
		visibleCatalog: make(map[string]serviceInstance), catalogDelay: catalogDelay, timers: make(map[*time.Timer]struct{}),
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/kv/{key...}", p.withFaults(p.getValue))
	mux.Handle("PUT /v1/kv/{key...}", p.withFaults(p.putValue))
	mux.Handle("GET /v1/catalog/service/{name}", p.withFaults(p.getServices))
	p.handleFaultControls(mux)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: 10 * time.Second, BaseContext: func(net.Listener) context.Context { return ctx },
	}
	p.serving.Go(func() { _ = p.server.Serve(listener) })
	return p
}

// Address returns the address the platform listens at.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close stops the platform and waits until its requests have ended.
func (p *Platform) Close() error {
	p.mu.Lock()
	for t := range p.timers {
		t.Stop()
	}
	p.mu.Unlock()
	p.cancel()
	err := p.server.Close()
	p.serving.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// notify wakes blocking reads; the lock is held.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// withFaults wraps a handler of the API with the injected faults.
func (p *Platform) withFaults(h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serving.Add(1)
		defer p.serving.Done()
		p.mu.Lock()
		down, slow := p.down, p.responseDelay
		p.mu.Unlock()
		if !sleep(r.Context(), slow) {
			return
		}
		if down {
			closeWithoutResponse(w)
			return
		}
		h(w, r)
	})
}

// sleep waits for the duration and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// awaitChange implements a blocking read: it waits until current, which is called with the lock held, exceeds the
// request's index, or until the request's wait time has passed. It returns with the lock held.
func (p *Platform) awaitChange(r *http.Request, current func() uint64) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	limit, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || limit <= 0 {
		limit = defaultWait
	}
	timer := time.NewTimer(min(limit, maxWait))
	defer timer.Stop()
	p.mu.Lock()
	for after > 0 && current() <= after && !p.down {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			p.mu.Lock()
			return
		case <-r.Context().Done():
			p.mu.Lock()
			return
		}
		p.mu.Lock()
	}
}

func (p *Platform) getValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	indexOf := func() uint64 {
		if v, ok := p.values[key]; ok {
			return v.modifyIndex
		}
		return p.index
	}
	p.awaitChange(r, indexOf)
	v, ok := p.values[key]
	index, down := indexOf(), p.down
	p.mu.Unlock()
	if down {
		closeWithoutResponse(w)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []map[string]any{{
		"Key": key, "Value": v.data, "Flags": 0, "LockIndex": 0, "CreateIndex": v.createIndex, "ModifyIndex": v.modifyIndex,
	}})
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxValueBytes {
		http.Error(w, "value exceeds 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	old, exists := p.values[key]
	accepted := true
	if cas := r.URL.Query().Get("cas"); cas != "" {
		index, err := strconv.ParseUint(cas, 10, 64)
		if err != nil {
			p.mu.Unlock()
			http.Error(w, "invalid cas", http.StatusBadRequest)
			return
		}
		accepted = index == 0 && !exists || exists && old.modifyIndex == index
	}
	dropResponse := false
	if accepted {
		p.index++
		p.previousValues[key] = old
		next := storedValue{data: data, createIndex: p.index, modifyIndex: p.index}
		if exists {
			next.createIndex = old.createIndex
		}
		p.values[key] = next
		dropResponse, p.dropNextResponse = p.dropNextResponse, false
		p.notify()
	}
	p.mu.Unlock()
	if dropResponse {
		closeWithoutResponse(w)
		return
	}
	writeJSON(w, accepted)
}

func (p *Platform) getServices(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	// All services share one index, so a change of another service may end a blocking read, as Consul allows.
	var index uint64
	indexOf := func() uint64 {
		index = 1
		for _, s := range p.visibleCatalog {
			index = max(index, s.ModifyIndex)
		}
		return index
	}
	p.awaitChange(r, indexOf)
	list := []serviceInstance{}
	for _, s := range p.visibleCatalog {
		if s.ServiceName == name && s.ServiceMeta != nil {
			list = append(list, s)
		}
	}
	indexOf()
	down := p.down
	p.mu.Unlock()
	if down {
		closeWithoutResponse(w)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Register adds or replaces an instance of a service in the catalog.
func (p *Platform) Register(serviceName, node, address string, meta map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateInstance(serviceName, node, address, meta)
}

// Deregister removes an instance of a service.
func (p *Platform) Deregister(serviceName, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateInstance(serviceName, node, "", nil)
}

// MarkLeaving marks an instance as leaving. A database server need not be registered before.
func (p *Platform) MarkLeaving(serviceName, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.catalog[serviceName+"/"+node]
	meta := map[string]string{"state": "leaving"}
	for k, v := range s.ServiceMeta {
		if k != "state" {
			meta[k] = v
		}
	}
	p.updateInstance(serviceName, node, s.Address, meta)
}

// updateInstance stores an instance. Without meta the instance counts as removed; its entry stays, because its index
// counts for the index of the catalog.
func (p *Platform) updateInstance(serviceName, node, address string, meta map[string]string) {
	p.index++
	id := serviceName + "/" + node
	s := serviceInstance{
		Node: node, Address: address, ServiceID: node, ServiceName: serviceName, ServiceMeta: meta,
		CreateIndex: p.index, ModifyIndex: p.index,
	}
	p.catalog[id] = s
	publish := func() {
		if s.ModifyIndex > p.visibleCatalog[id].ModifyIndex {
			p.visibleCatalog[id] = s
			p.notify()
		}
	}
	if p.catalogDelay <= 0 {
		publish()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(p.catalogDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.timers, timer)
		publish()
	})
	p.timers[timer] = struct{}{}
}
