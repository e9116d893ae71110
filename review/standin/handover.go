package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// handoverOutage is how long the primary is down, roundTime the time from one crash to the next.
	handoverOutage, roundTime = 1600 * time.Millisecond, 13 * time.Second
)

// stopDelays are how long after its call for a promotion the holder of the duty gets SIGTERM, one for each round.
var stopDelays = []time.Duration{
	340 * time.Millisecond, 380 * time.Millisecond, 360 * time.Millisecond, 320 * time.Millisecond, 400 * time.Millisecond,
	350 * time.Millisecond, 370 * time.Millisecond,
}

// runHandover lets the primary crash for a short time, and restarts the node that has just called for a promotion, as
// in a rolling restart; this is done a few times. Rule LOST: an acknowledged commit is in the log of the server that is
// promoted.
func runHandover(w *world) ([]string, error) {
	var mu sync.Mutex
	var writes []acked
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range writers {
		clients.Go(func() {
			w.write(i, stop, func(id string) {
				mu.Lock()
				writes = append(writes, acked{id: id, at: time.Now()})
				mu.Unlock()
			})
		})
	}
	time.Sleep(4 * time.Second)
	for _, delay := range stopDelays {
		next := time.Now().Add(roundTime)
		if w.trouble {
			w.crashAndStop(delay)
		}
		time.Sleep(time.Until(next))
	}
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	if len(writes) == 0 {
		return nil, fmt.Errorf("%w: no write was acknowledged", errNotRun)
	}
	return w.lostWrites(writes), nil
}

// crashAndStop lets the primary crash and stops the node that calls for the promotion of its successor.
func (w *world) crashAndStop(delay time.Duration) {
	d := w.database
	calls := make(chan string, 1)
	d.mu.Lock()
	first := d.leader
	d.onFailover = func(holder string) {
		select {
		case calls <- holder:
		default:
		}
	}
	d.mu.Unlock()
	d.crash(first)
	time.AfterFunc(handoverOutage, func() { d.restart(first) })
	select {
	case holder := <-calls:
		time.Sleep(delay)
		w.restartNode(holder)
	case <-time.After(5 * time.Second):
		w.record.add("no call for a promotion")
	}
}

// restartNode sends SIGTERM to a node and starts it again after its end.
func (w *world) restartNode(name string) {
	for _, n := range w.nodes {
		if n.name != name {
			continue
		}
		w.record.add("SIGTERM to %s", n.name)
		_ = n.command.Process.Signal(syscall.SIGTERM)
		n.ended.Wait()
		time.Sleep(restartDelay)
		if err := w.startNode(n); err != nil {
			w.record.add("%s: %v", n.name, err)
		}
	}
}
