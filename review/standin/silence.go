package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// silentItem is an item whose statements the upstreams do not answer. All other statements are answered.
	silentItem = "silent"
	// silentRounds is the number of times that a client sends such statements, silentParallel is how many of its reads it
	// sends at a time, each in a session of its own.
	silentRounds, silentParallel = 8, 8
)

// runSilentWrites lets one client write an item whose statements get no answer, and counts the changes of primary.
func runSilentWrites(w *world) ([]string, error) {
	return w.runSilent("WRITE", 1)
}

// runSilentReads is the same with reads, some at a time.
func runSilentReads(w *world) ([]string, error) {
	return w.runSilent("READ", silentParallel)
}

func (w *world) runSilent(word string, parallel int) ([]string, error) {
	item := "1c2"
	if w.trouble {
		item = silentItem
	}
	var violations []string
	d := w.database
	d.mu.Lock()
	d.onPromotion = func(u *upstream) {
		violations = append(violations, fmt.Sprintf("%s became primary although nothing was wrong", u.id))
	}
	d.mu.Unlock()
	for i := range silentRounds {
		var running sync.WaitGroup
		for k := range parallel {
			running.Go(func() {
				id := fmt.Sprintf("a%d-%d", i, k)
				text := word + " " + item
				if word == "WRITE" {
					text += " data"
				}
				a, err := w.read(id, text)
				w.record.add("client: %s as %s: %q, state %q, %v", text, id, a.code, a.state, err)
			})
		}
		running.Wait()
		time.Sleep(100 * time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return violations, nil
}
