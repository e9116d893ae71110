package main

import (
	"bufio"
	"fmt"
	"strings"
	"sync"
	"time"
)

// otherServiceName is the service that the route is moved to.
const otherServiceName = "kafi81c"

const (
	longSessions = 60
	// readsPerWrite is the number of reads of a session for each of its writes, operationPeriod the time between two of
	// its operations.
	readsPerWrite   = 7
	operationPeriod = 4 * time.Second
)

func movedConfiguration(version int, service string) string {
	return routeConfiguration(version, 800, names.OwnReads, service, "")
}

// runMovedRoute checks the gate's bound on requests that are refused or fail: a route is moved to another service while
// its sessions stay open.
func runMovedRoute(recordPath, binary string) (bool, error) {
	b, err := newBench(recordPath, binary, movedConfiguration(7, serviceName))
	if err != nil {
		return false, err
	}
	defer b.close()
	// The primary of the first service has changed more often than that of the other.
	b.db.mu.Lock()
	b.db.term = 3
	b.db.mu.Unlock()
	zones := []string{"ost-linz", "ost-steyr", "ost-linz"}
	if _, err := startDatabase(otherServiceName, b.store, b.log, zones); err != nil {
		return false, err
	}
	if err := b.startNodes(); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	const end = 80 * time.Second
	time.Sleep(time.Second)
	var sent sync.WaitGroup
	for i := range longSessions {
		sent.Go(func() { b.clients.keepSession(b.nodes[i%len(b.nodes)], end) })
		time.Sleep(operationPeriod / longSessions)
	}
	b.waitUntil(8 * time.Second)
	if b.trouble {
		b.store.put(names.ConfigurationKey, movedConfiguration(9, otherServiceName))
		b.log.note("version 9 moves the route to another service")
	}
	sent.Wait()
	asked, served := b.clients.share(0, end)
	after, servedAfter := b.clients.share(14*time.Second, end)
	b.log.note("%d operations, %d served; from second 14 on %d, %d served", asked, served, after, servedAfter)
	unserved := 1 - float64(served)/float64(asked)
	b.log.note("refused and failed: %.0f%%", 100*unserved)
	b.log.note("GATE broken: %t", unserved > maxUnserved)
	return unserved > maxUnserved, nil
}

// keepSession sends operations in one session until the time of the record. After a promise it goes on.
func (c *clients) keepSession(n *node, until time.Duration) {
	conn, err := dial(n.clientAddress())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	_, _ = fmt.Fprintf(conn, "STARTUP %s key\r\n", c.database)
	if first, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(first, "READY ") {
		return
	}
	for i := 0; c.log.now() < until; i++ {
		next := time.After(operationPeriod)
		text := "READ 1a4"
		if i%(readsPerWrite+1) == 0 {
			text = "WRITE 1a4 xkqpwnzd"
		}
		o := outcome{at: c.log.now(), id: fmt.Sprintf("%016x", 0xabc0000000+c.lastID.Add(1)), text: text}
		_ = conn.SetDeadline(time.Now().Add(2 * clientDeadline))
		o.result = ask(conn, in, o.id, text)
		o.served = strings.HasPrefix(o.result, "COMPLETE ")
		c.log.add("sent at %.3f to %s: %s %s -> %s", o.at.Seconds(), n.name, o.id, text, o.result)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		if o.result == "no answer" {
			return
		}
		<-next
	}
}
