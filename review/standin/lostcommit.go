package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// writers is the number of sessions that write.
	writers = 9
	// writePause is the pause of a session between two writes.
	writePause = 80 * time.Millisecond
	// The crashes: the primary for firstOutage, and its successor secondAfter later for secondOutage.
	firstOutage, secondAfter, secondOutage = 6600 * time.Millisecond, 2500 * time.Millisecond, 4000 * time.Millisecond
)

// acked is a write that was acknowledged to its client.
type acked struct {
	id string
	at time.Time
}

// runLostCommit lets two upstreams of a database crash for some seconds, one after the other, while clients write. Rule
// LOST: an acknowledged commit is in the log of the server that is promoted.
func runLostCommit(w *world) ([]string, error) {
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
	if w.trouble {
		w.crashTwo()
	}
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	if len(writes) == 0 {
		return nil, fmt.Errorf("%w: no write was acknowledged", errNotRun)
	}
	return w.lostWrites(writes), nil
}

// crashTwo lets the primary crash and, once its successor leads, that one too. Both come back with their logs.
func (w *world) crashTwo() {
	d := w.database
	d.mu.Lock()
	first := d.leader
	beat := first.beatAt
	d.mu.Unlock()
	// The registration is removed three heartbeat intervals after the last heartbeat, so the crash starts after one.
	time.Sleep(time.Until(beat.Add(heartbeatInterval + 100*time.Millisecond)))
	d.crash(first)
	time.AfterFunc(firstOutage, func() { d.restart(first) })
	time.Sleep(secondAfter)
	d.mu.Lock()
	second := d.leader
	d.mu.Unlock()
	if second == first {
		w.record.add("no successor leads yet")
		return
	}
	d.crash(second)
	time.Sleep(secondOutage)
	d.restart(second)
}

// write writes from one session until stop is closed, and reports the writes that were acknowledged.
func (w *world) write(number int, stop chan struct{}, ack func(id string)) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(writePause):
		}
		if c == nil {
			next, err := w.connect(w.nodes[(number+i)%len(w.nodes)])
			if err != nil {
				w.record.add("client %d: %v", number, err)
				continue
			}
			c = next
		}
		id := fmt.Sprintf("w%d-%d", number, i)
		a, err := c.query(id, fmt.Sprintf("WRITE %d %s", number, id))
		switch {
		case err != nil:
			w.record.add("client %d: %s: %v", number, id, err)
			c.close()
			c = nil
		case a.code != "":
			w.record.add("client %d: %s: ERROR %s", number, id, a.code)
		default:
			ack(id)
			w.record.add("client %d: %s is acknowledged, %s", number, id, a.signature)
		}
	}
}

// lostWrites returns the acknowledged writes that the log of the primary does not have.
func (w *world) lostWrites(writes []acked) []string {
	d := w.database
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[string]bool)
	for _, e := range d.leader.log {
		kept[e.id] = true
	}
	var lost []string
	for _, a := range writes {
		if !kept[a.id] {
			lost = append(lost, fmt.Sprintf("%s was acknowledged at %.3f and is not in the log of %s, which leads term %d",
				a.id, a.at.Sub(w.record.start).Seconds(), d.leader.id, d.leader.term))
		}
	}
	w.record.add("%d writes were acknowledged, %d of them are lost", len(writes), len(lost))
	return lost
}
