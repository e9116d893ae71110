package loomstandin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names of the services in the catalog.
const (
	ServiceNodes     = "currantloom"
	ServiceUpstreams = "database-server"
)

// handleFaultControls adds the fault controls. Injected faults do not affect them:
//
//	POST   /standin/faults?down=true&slow=500ms&lose-reply=true&lag=2s   sets the given ones
//	POST   /standin/restore/KEY                                          restores the value before the last change
//	PUT    /standin/vms/NAME?links=IP:PORT&control=IP:PORT&region=R&failure-domain=D
//	DELETE /standin/vms/NAME
//	POST   /standin/vms/NAME/leave
//	POST   /standin/servers/NAME/leave
func (p *Platform) handleFaultControls(mux *http.ServeMux) {
	mux.HandleFunc("POST /standin/faults", p.setFaults)
	mux.HandleFunc("POST /standin/restore/{key...}", func(_ http.ResponseWriter, r *http.Request) {
		p.Restore(r.PathValue("key"))
	})
	mux.HandleFunc("PUT /standin/vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		p.RegisterVM(r.PathValue("name"), q.Get("links"), q.Get("control"), q.Get("region"), q.Get("failure-domain"))
	})
	mux.HandleFunc("DELETE /standin/vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		p.Deregister(ServiceNodes, r.PathValue("name"))
	})
	mux.HandleFunc("POST /standin/vms/{name}/leave", func(_ http.ResponseWriter, r *http.Request) {
		p.MarkLeaving(ServiceNodes, r.PathValue("name"))
	})
	mux.HandleFunc("POST /standin/servers/{name}/leave", func(_ http.ResponseWriter, r *http.Request) {
		p.MarkLeaving(ServiceUpstreams, r.PathValue("name"))
	})
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	for _, name := range []string{"down", "lose-reply"} {
		if !q.Has(name) {
			continue
		}
		on, err := strconv.ParseBool(q.Get(name))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if name == "down" {
			p.SetDown(on)
		} else {
			p.SetDropNextResponse(on)
		}
	}
	for _, name := range []string{"slow", "lag"} {
		if !q.Has(name) {
			continue
		}
		d, err := time.ParseDuration(q.Get(name))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if name == "slow" {
			p.SetResponseDelay(d)
		} else {
			p.SetCatalogDelay(d)
		}
	}
}

// RegisterVM registers a VM that runs a node. The addresses have the form IP:port.
func (p *Platform) RegisterVM(name, links, control, region, domain string) {
	host, linksPort, _ := strings.Cut(links, ":")
	_, controlPort, _ := strings.Cut(control, ":")
	p.Register(ServiceNodes, name, host, map[string]string{
		"links-port": linksPort, "control-port": controlPort, "region": region, "failure-domain": domain, "state": "live",
	})
}

// SetDown makes the store and the catalog close every connection without a response, including those of blocking reads.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// SetResponseDelay delays every request by d before it is processed.
func (p *Platform) SetResponseDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseDelay = d
}

// SetDropNextResponse makes the next write that takes effect close its connection without a response.
func (p *Platform) SetDropNextResponse(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropNextResponse = drop
}

// SetCatalogDelay changes the time after which a change of the catalog becomes visible.
func (p *Platform) SetCatalogDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogDelay = delay
}

// Restore restores the value that the last write of a key replaced, with its old index, or deletes the key if it was
// new. It simulates a store that is set back to an older state (docs/design.md, section 3, P2).
func (p *Platform) Restore(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.previousValues[key]; old.modifyIndex > 0 {
		p.values[key] = old
	} else {
		delete(p.values, key)
	}
	p.notify()
}
