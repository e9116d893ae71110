package main

import "time"

const (
	// deafTime is how long a replica receives nothing, outageTime how long the other two servers are dark.
	deafTime, outageTime = 6500 * time.Millisecond, 6900 * time.Millisecond
	// lagTime is the time from the begin of the one to that of the other, killAfter that from there until all processes
	// are killed.
	lagTime, killAfter = time.Second, 300 * time.Millisecond
)

// runForgotten checks LOST: a replica receives nothing for a while, the primary and the other replica are dark, and all
// processes are killed, so that none remembers what was acknowledged.
func runForgotten(recordPath, binary string) (bool, error) {
	b, err := newBench(recordPath, binary, configuration(7, 800))
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startNodes(); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	const end = 25 * time.Second
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.clients.run(end, 10*time.Millisecond, "WRITE 1a4 xkqpwnzd")
	}()
	b.waitUntil(6 * time.Second)
	if b.trouble {
		if err := b.forget(); err != nil {
			return false, err
		}
	}
	<-sent
	lost := b.countLost()
	b.log.note("%d acknowledged commits are not in the log of the server that was promoted", lost)
	b.log.note("LOST broken: %t", lost > 0)
	return lost > 0, nil
}

func (b *bench) forget() error {
	primary, replica, deaf := b.db.servers[0], b.db.servers[1], b.db.servers[2]
	b.db.setDeaf(deaf, true)
	time.AfterFunc(deafTime, func() { b.db.setDeaf(deaf, false) })
	time.Sleep(lagTime)
	b.db.setDark(true, primary, replica)
	time.AfterFunc(outageTime, func() { b.db.setDark(false, primary, replica) })
	time.Sleep(killAfter)
	for _, n := range b.nodes {
		n.kill()
	}
	b.log.note("all processes are killed")
	time.Sleep(restartDelay)
	b.log.note("all processes start again")
	return b.startNodes()
}
