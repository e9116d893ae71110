package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// primaryOutage and replicaOutage are how long the two upstreams are down, crashInterval is the time between the
	// crashes of one primary and the next.
	primaryOutage, replicaOutage = 500 * time.Millisecond, 600 * time.Millisecond
	crashInterval                = 10 * time.Second
	// crashRounds is how often this is done.
	crashRounds = 3
)

// runTwoCrashes lets the primary crash for a moment, and a replica as well once the promotion of the other replica was
// called for. Both come back with their logs. Rule LOST: an acknowledged commit is in the log of the server that is
// promoted.
func runTwoCrashes(w *world) ([]string, error) {
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
	for range crashRounds {
		next := time.Now().Add(crashInterval)
		if w.trouble {
			w.crashPrimaryAndReplica()
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

// crashPrimaryAndReplica lets the primary crash and, after the call for the promotion of a replica, the other replica.
func (w *world) crashPrimaryAndReplica() {
	d := w.database
	candidates := make(chan *upstream, 1)
	d.mu.Lock()
	first := d.leader
	d.onPromotion = func(u *upstream) {
		select {
		case candidates <- u:
		default:
		}
	}
	d.mu.Unlock()
	d.crash(first)
	time.AfterFunc(primaryOutage, func() { d.rejoin(first) })
	select {
	case candidate := <-candidates:
		for _, u := range d.upstreams {
			if u != first && u != candidate {
				d.crash(u)
				time.Sleep(replicaOutage)
				d.rejoin(u)
			}
		}
	case <-time.After(primaryOutage):
		w.record.add("no call for a promotion")
	}
}
