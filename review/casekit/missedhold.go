package main

import (
	"syscall"
	"time"
)

const (
	// frozenAfter is when after the servers a node freezes.
	frozenAfter = 4500 * time.Millisecond
)

// runMissedHold checks LOST: the primary and a replica crash for up to 7 s, and another node freezes for a moment. The
// two return under new ids while the promotion of the other replica is on its way.
func runMissedHold(recordPath, binary string) (bool, error) {
	b, err := newBench(recordPath, binary, configuration(7, 800))
	if err != nil {
		return false, err
	}
	defer b.close()
	b.db.promoted = make(chan struct{}, 1)
	if err := b.startNodes(); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	const end = 24 * time.Second
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.clients.run(end, 5*time.Millisecond, "WRITE 1a4 xkqpwnzd")
	}()
	b.waitUntil(6 * time.Second)
	if b.trouble {
		b.darkness()
	}
	<-sent
	lost := b.countLost()
	b.log.note("%d acknowledged commits are not in the log of the server that was promoted", lost)
	b.log.note("LOST broken: %t", lost > 0)
	return lost > 0, nil
}

// darkness makes the primary and a replica dark, and freezes a node that does not hold the failover lease.
func (b *bench) darkness() {
	primary, replica := b.db.servers[0], b.db.servers[1]
	b.db.setDark(true, primary, replica)
	back := time.After(darkTime)
	time.Sleep(frozenAfter)
	holder := b.holder()
	frozen := b.nodes[0]
	if frozen == holder {
		frozen = b.nodes[2]
	}
	frozen.signal(syscall.SIGSTOP)
	b.log.note("%s freezes; %s holds the failover lease", frozen.name, holder.name)
	select {
	case <-b.db.promoted:
		b.log.note("the platform has accepted the promotion of the other replica")
		time.Sleep(40 * time.Millisecond)
	case <-back:
	}
	frozen.signal(syscall.SIGCONT)
	b.log.note("%s wakes", frozen.name)
	time.Sleep(40 * time.Millisecond)
	b.db.rename(primary, replica)
	b.db.setDark(false, primary, replica)
}
