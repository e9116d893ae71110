package main

import (
	"fmt"
	"time"
)

const (
	// callLateness is how much later the call to promote is carried out; the platform allows for 2 to 12 s.
	callLateness = 6 * time.Second
	// maxDarkTime is how long servers may be dark.
	maxDarkTime = 7 * time.Second
	// The store answers 503 from busyAfter to busyUntil after the servers went dark.
	busyAfter, busyUntil = 600 * time.Millisecond, 1800 * time.Millisecond
	// killDelay is the time from the call to promote until all processes are killed, returnDelay the time until the
	// servers are back after that, and restartDelay that until the processes start again.
	killDelay, returnDelay, restartDelay = 100 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond
)

// runUnrecorded checks LOST: the store is busy as the holder of the failover lease begins to replace a primary, so that
// the change isn't recorded; the call to promote gets no answer and is carried out late; all processes are killed.
func runUnrecorded(recordPath, binary string) (bool, error) {
	b, err := newBench(recordPath, binary, configuration(7, 800))
	if err != nil {
		return false, err
	}
	defer b.close()
	b.db.called = make(chan struct{}, 1)
	if err := b.startNodes(); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	const end = 30 * time.Second
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.clients.run(end, 10*time.Millisecond, "WRITE 1a4 xkqpwnzd")
	}()
	b.waitUntil(6 * time.Second)
	if b.trouble {
		if err := b.unrecordedPromotion(); err != nil {
			return false, err
		}
	}
	<-sent
	lost := b.countLost()
	b.log.note("%d acknowledged commits are not in the log of the server that was promoted", lost)
	b.log.note("LOST broken: %t", lost > 0)
	return lost > 0, nil
}

func (b *bench) unrecordedPromotion() error {
	primary, replica := b.db.servers[0], b.db.servers[1]
	b.db.mu.Lock()
	b.db.lateBy = callLateness
	b.db.mu.Unlock()
	b.db.setDark(true, primary, replica)
	time.Sleep(busyAfter)
	b.store.setBusy(true)
	b.log.note("the store answers 503")
	time.Sleep(busyUntil - busyAfter)
	b.store.setBusy(false)
	b.log.note("the store answers again")
	select {
	case <-b.db.called:
	case <-time.After(maxDarkTime - busyUntil):
		b.db.setDark(false, primary, replica)
		return fmt.Errorf("no promotion was requested while the servers were dark")
	}
	b.log.note("the record of changes in the store: %q", b.store.value("changes"))
	time.Sleep(killDelay)
	for _, n := range b.nodes {
		n.kill()
	}
	b.log.note("all processes are killed")
	b.db.mu.Lock()
	b.db.lateBy = 0
	b.db.mu.Unlock()
	time.Sleep(returnDelay)
	b.db.setDark(false, primary, replica)
	time.Sleep(restartDelay - returnDelay)
	b.log.note("all processes start again")
	return b.startNodes()
}

// countLost counts the commits that a promotion has rolled back although their clients had a success.
func (b *bench) countLost() int {
	b.db.mu.Lock()
	rolledBack := make(map[string]bool)
	for _, id := range b.db.rolledBack {
		rolledBack[id] = true
	}
	b.db.mu.Unlock()
	lost := 0
	for _, o := range b.clients.all() {
		if o.served && rolledBack[o.id] {
			lost++
			b.log.add("LOST: %s was answered with %s", o.id, o.result)
		}
	}
	return lost
}
