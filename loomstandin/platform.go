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
	// maxValue is the size limit of a value (assumption P4).
	maxValue = 1 << 20
	// defaultWait and maxWait bound a blocking read, as Consul's published API does.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	indexHeader = "X-Consul-Index"
)

// Platform stands for the platform's key-value store and its list of services, over the subset of Consul's published
// HTTP API that currantloom uses.
type Platform struct {
	server   *http.Server
	listener net.Listener
	serving  sync.WaitGroup
	cancel   context.CancelFunc

	mu       sync.Mutex
	changed  chan struct{}
	index    uint64
	values   map[string]value
	previous map[string]value
	catalog  map[string]service
	visible  map[string]service
	lag      time.Duration
	timers   map[*time.Timer]struct{}
	down     bool
	slow     time.Duration
	lose     bool
}

// value is a stored value with the index of its last change.
type value struct {
	data            []byte
	created, change uint64
}

// service is an instance of a service in the catalog.
type service struct {
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

// StartPlatform serves the platform on the listener. Changes of the list of services become visible after the lag.
func StartPlatform(listener net.Listener, lag time.Duration) *Platform {
	p := &Platform{
		listener: listener, changed: make(chan struct{}), index: 1, values: make(map[string]value),
		previous: make(map[string]value), catalog: make(map[string]service), visible: make(map[string]service),
		lag: lag, timers: make(map[*time.Timer]struct{}),
	}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/kv/{key...}", p.faulty(p.getValue))
	mux.Handle("PUT /v1/kv/{key...}", p.faulty(p.putValue))
	mux.Handle("GET /v1/catalog/service/{name}", p.faulty(p.getServices))
	p.handleControls(mux)
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

// Close stops the platform and waits for it.
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

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// faulty applies the faults that are set to a handler of the API.
func (p *Platform) faulty(h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serving.Add(1)
		defer p.serving.Done()
		p.mu.Lock()
		down, slow := p.down, p.slow
		p.mu.Unlock()
		if !wait(r.Context(), slow) {
			return
		}
		if down {
			drop(w)
			return
		}
		h(w, r)
	})
}

// wait waits for the duration and reports whether the context is still alive.
func wait(ctx context.Context, d time.Duration) bool {
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

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// block waits until current, called with the lock held, exceeds the request's index, or until its wait time has
// passed. It returns with the lock held.
func (p *Platform) block(r *http.Request, current func() uint64) {
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
			return v.change
		}
		return p.index
	}
	p.block(r, indexOf)
	v, ok := p.values[key]
	index, down := indexOf(), p.down
	p.mu.Unlock()
	if down {
		drop(w)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []map[string]any{{
		"Key": key, "Value": v.data, "Flags": 0, "LockIndex": 0, "CreateIndex": v.created, "ModifyIndex": v.change,
	}})
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		return
	}
	if len(data) > maxValue {
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
		accepted = index == 0 && !exists || exists && old.change == index
	}
	lost := false
	if accepted {
		p.index++
		p.previous[key] = old
		next := value{data: data, created: p.index, change: p.index}
		if exists {
			next.created = old.created
		}
		p.values[key] = next
		lost, p.lose = p.lose, false
		p.notify()
	}
	p.mu.Unlock()
	if lost {
		drop(w)
		return
	}
	writeJSON(w, accepted)
}

func (p *Platform) getServices(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	// The lists of all services share an index, so an unrelated change may end a blocking read, as Consul allows.
	var index uint64
	indexOf := func() uint64 {
		index = 1
		for _, s := range p.visible {
			index = max(index, s.ModifyIndex)
		}
		return index
	}
	p.block(r, indexOf)
	list := []service{}
	for _, s := range p.visible {
		if s.ServiceName == name && s.ServiceMeta != nil {
			list = append(list, s)
		}
	}
	indexOf()
	down := p.down
	p.mu.Unlock()
	if down {
		drop(w)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Register adds an instance of a service to the catalog or replaces it.
func (p *Platform) Register(serviceName, node, address string, meta map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change(serviceName, node, address, meta)
}

// Deregister removes an instance.
func (p *Platform) Deregister(serviceName, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change(serviceName, node, "", nil)
}

// MarkLeaving marks an instance as leaving. A database server needs no registration before.
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
	p.change(serviceName, node, s.Address, meta)
}

// change stores an instance; without meta it is removed. A removed instance stays as a mark that carries the index.
func (p *Platform) change(serviceName, node, address string, meta map[string]string) {
	p.index++
	id := serviceName + "/" + node
	s := service{
		Node: node, Address: address, ServiceID: node, ServiceName: serviceName, ServiceMeta: meta,
		CreateIndex: p.index, ModifyIndex: p.index,
	}
	p.catalog[id] = s
	show := func() {
		if s.ModifyIndex > p.visible[id].ModifyIndex {
			p.visible[id] = s
			p.notify()
		}
	}
	if p.lag <= 0 {
		show()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.timers, timer)
		show()
	})
	p.timers[timer] = struct{}{}
}
