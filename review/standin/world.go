package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// minLeaseTTL is minTtlMs of the settings.
	minLeaseTTL = time.Second
	// readyWithin is how long the nodes may take to become ready.
	readyWithin = 15 * time.Second
)

// zones are the failure domains; each has one upstream.
var zones = []string{"ost-linz", "west-ibk", "ost-steyr"}

// nodeZones are the failure domains of the nodes of a case; one in each if the case is not listed.
var nodeZones = map[string][]string{
	"handover": {"west-ibk", "ost-steyr"},
}

// world is the platform, the database and the nodes of a case.
type world struct {
	ctx      context.Context
	cancel   context.CancelFunc
	record   *record
	trouble  bool
	store    *store
	database *database
	platform *http.Server
	nodes    []*node
	dir      string
	// program is the program under review, address that of the platform.
	program, address string
}

// node is a node of this repository in its own process.
type node struct {
	name, zone                                string
	sessionAddress, readyAddress, linkAddress string
	command                                   *exec.Cmd
	ended                                     sync.WaitGroup
}

func listen(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", "127.0.0.1:0")
}

// newWorld starts the platform, the database and the nodes, and waits until the nodes are ready.
func newWorld(ctx context.Context, r *record, name, program string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: trouble, store: newStore(), dir: dir, program: program}
	w.ctx, w.cancel = context.WithCancel(ctx)
	r.add("start, trouble %t", trouble)
	nodes, ok := nodeZones[name]
	if !ok {
		nodes = zones
	}
	if err := w.start(nodes); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) start(nodes []string) error {
	database, err := startDatabase(w.ctx, w.record, w.store, zones)
	if err != nil {
		return err
	}
	w.database = database
	w.store.put(names.ConfigurationKey, configurationFile)
	l, err := listen(w.ctx)
	if err != nil {
		return err
	}
	mux := w.store.handler()
	mux.HandleFunc("POST /failover", w.database.serveFailover)
	w.platform = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.platform.Serve(l) }()
	w.address = l.Addr().String()
	if err := w.newNodes(nodes); err != nil {
		return err
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// newNodes chooses free ports for the nodes.
func (w *world) newNodes(zones []string) error {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for _, zone := range zones {
		n := &node{name: "frontend-" + zone + "-1", zone: zone}
		for _, address := range []*string{&n.sessionAddress, &n.readyAddress, &n.linkAddress} {
			l, err := listen(w.ctx)
			if err != nil {
				return err
			}
			listeners = append(listeners, l)
			*address = l.Addr().String()
		}
		w.nodes = append(w.nodes, n)
	}
	return nil
}

// settings returns the settings file of a node.
func (w *world) settings(n *node) string {
	return strings.NewReplacer(
		"NAME", n.name, "ZONE", n.zone, "REGION", region(n.zone), "SESSIONS", n.sessionAddress, "READY", n.readyAddress,
		"LINKS", n.linkAddress, "SEED", w.nodes[0].linkAddress, "PLATFORM", w.address,
	).Replace(settingsFile)
}

// region returns the region of a zone, which is the first part of its name.
func region(zone string) string {
	name, _, _ := strings.Cut(zone, "-")
	return name
}

func (w *world) startNode(n *node) error {
	path := filepath.Join(w.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(w.settings(n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(w.program, "platform") //nolint:gosec,noctx // the program is the one under review
	n.command.Env = append(os.Environ(), names.SettingsVariable+"="+path)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		n.command = nil
		return err
	}
	w.record.add("%s started", n.name)
	n.ended.Go(func() { _ = n.command.Wait() })
	return nil
}

// awaitReady waits until all nodes answer the readiness probe with 200.
func (w *world) awaitReady() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if w.isReady(n) {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.record.add("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: the nodes are not ready", errNotRun)
}

func (w *world) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	url := "http://" + n.readyAddress + names.ReadyPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil) //nolint:gosec // a loopback address
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request) //nolint:gosec // a loopback address
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// killNodes kills the processes of the nodes.
func (w *world) killNodes() {
	for _, n := range w.nodes {
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGKILL)
		}
	}
}

// close ends the nodes and the stand-ins.
func (w *world) close() {
	w.cancel()
	w.killNodes()
	for _, n := range w.nodes {
		n.ended.Wait()
	}
	if w.platform != nil {
		_ = w.platform.Close()
	}
	if w.database != nil {
		w.database.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
