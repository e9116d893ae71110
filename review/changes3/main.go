// Command changes3 runs the scripts of review cases 11 and 12, on changes of primary: it starts nodes as processes,
// with stand-ins of the platform, the servers and the clients around them, and checks a rule of the platform's pages.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// bench is what all cases share.
type bench struct {
	dir     string
	log     *record
	store   *store
	db      *database
	nodes   []*node
	clients *clients
	// trouble says that the disruption takes place.
	trouble bool
	closing sync.Mutex
}

// serviceName is the name of the service, databaseName the one that clients ask for.
const serviceName, databaseName = "dele69a", "huno02x"

// places are the names of the nodes in the order of their start, and their zones.
var places = []struct{ node, zone string }{
	{"frontend-ost-steyr-1", "ost-steyr"}, {"frontend-ost-linz-2", "ost-linz"}, {"frontend-ost-linz-1", "ost-linz"},
}

func newBench(recordPath, binary, config string) (*bench, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	log, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir, log: log, trouble: os.Getenv("TROUBLE") != "0"}
	if b.store, err = startStore(); err != nil {
		return nil, err
	}
	b.store.put(names.ConfigurationKey, config)
	zones := []string{"ost-linz", "ost-steyr", "ost-linz"}
	if b.db, err = startDatabase(serviceName, b.store, log, zones); err != nil {
		return nil, err
	}
	cloud, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", b.db.servePromotion)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(cloud) }()
	b.clients = newClients(log)
	for i, place := range places {
		n, err := newNode(binary, dir, place.node, fmt.Sprintf("127.0.0.%d", 11+i), place.zone,
			cloud.Addr().String(), b.store, b.seeds)
		if err != nil {
			return nil, err
		}
		b.nodes = append(b.nodes, n)
	}
	b.clients.nodes = b.nodes
	go b.closeEarly()
	return b, nil
}

// seeds returns the link addresses of the first node, if there is one yet.
func (b *bench) seeds() []string {
	if len(b.nodes) == 0 {
		return nil
	}
	return []string{fmt.Sprintf(`"%s:%d"`, b.nodes[0].ip, b.nodes[0].ports[2])}
}

// startNodes starts the nodes within 0.3 s.
func (b *bench) startNodes() error {
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
		time.Sleep(startSpread / time.Duration(len(b.nodes)))
	}
	return nil
}

// awaitReady waits until all nodes are ready.
func (b *bench) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range b.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(b.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready")
}

// startSpread is the time within which all nodes start.
const startSpread = 300 * time.Millisecond

// waitUntil sleeps until a time of the record.
func (b *bench) waitUntil(at time.Duration) { time.Sleep(at - b.log.now()) }

// maxCaseTime is how long a case may take.
const maxCaseTime = 115 * time.Second

// closeEarly ends the processes if the case is told to end or takes too long.
func (b *bench) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxCaseTime):
	}
	b.close()
	os.Exit(exitFailed)
}

// close ends all processes that the case started.
func (b *bench) close() {
	b.closing.Lock()
	defer b.closing.Unlock()
	for _, n := range b.nodes {
		if n.command != nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs of the nodes:", b.dir)
	}
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: casekit CASE RECORD BINARY")
		return exitFailed
	}
	run, ok := map[string]func(string, string) (bool, error){
		"unrecorded": runUnrecorded, "forgotten": runForgotten,
	}[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		return exitFailed
	}
	binary, err := filepath.Abs(os.Args[3])
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	broken, err := run(os.Args[2], binary)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitFailed
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
