package main

import (
	"fmt"
	"time"
)

const (
	// callLateness is how much later the call to promote is carried out; the platform allows for some seconds.
	callLateness = 6 * time.Second
	// darkTime is how long servers may be dark.
	darkTime = 7 * time.Second
)

// runLatePromotion checks LOST: the primary and a replica are dark for up to 7 s, the call to promote the other replica
// gets no answer and is carried out late, and the node that made it is killed and starts again.
func runLatePromotion(recordPath, binary string) (bool, error) {
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
	const end = 28 * time.Second
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.clients.run(end, 10*time.Millisecond, "WRITE 1a4 xkqpwnzd")
	}()
	b.waitUntil(6 * time.Second)
	if b.trouble {
		if err := b.latePromotion(); err != nil {
			return false, err
		}
	}
	<-sent
	lost := b.countLost()
	b.log.note("%d acknowledged commits are not in the log of the server that was promoted", lost)
	b.log.note("LOST broken: %t", lost > 0)
	return lost > 0, nil
}

func (b *bench) latePromotion() error {
	primary, replica := b.db.servers[0], b.db.servers[1]
	b.db.mu.Lock()
	b.db.lateBy = callLateness
	b.db.mu.Unlock()
	b.db.setDark(true, primary, replica)
	select {
	case <-b.db.called:
	case <-time.After(darkTime):
		b.db.setDark(false, primary, replica)
		return fmt.Errorf("no promotion was requested while the servers were dark")
	}
	holder := b.holder()
	time.Sleep(100 * time.Millisecond)
	holder.kill()
	b.log.note("%s, the holder of the failover lease, is killed", holder.name)
	b.db.mu.Lock()
	b.db.lateBy = 0
	b.db.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	b.db.setDark(false, primary, replica)
	b.log.note("%s starts again", holder.name)
	return holder.start()
}
