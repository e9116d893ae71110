package main

import "time"

const (
	outageRounds = 6
	outageTime   = 3900 * time.Millisecond
	roundTime    = 16 * time.Second
)

// runFreshHolder checks LOST: the store is down until the entries of the servers have expired, and the process that
// holds the failover lease is killed and starts again as the store returns.
func runFreshHolder(recordPath, binary string) (bool, error) {
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
	first := b.log.now() + 3*time.Second
	end := first + outageRounds*roundTime
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.clients.run(end, 8*time.Millisecond, "WRITE 1a4 xkqpwnzd")
	}()
	lost := 0
	for round := range time.Duration(outageRounds) {
		b.waitUntil(first + round*roundTime)
		if b.trouble {
			b.store.put(names.ConfigurationKey, configuration(9+2*int(round), 800+int(round)))
			time.Sleep(60 * time.Millisecond)
			if err := b.outage(); err != nil {
				return false, err
			}
		}
		time.Sleep(6 * time.Second)
		if lost = b.countLost(); lost > 0 {
			break
		}
	}
	b.clients.stop()
	<-sent
	lost = b.countLost()
	b.log.note("%d acknowledged commits are not in the log of the server that was promoted", lost)
	b.log.note("LOST broken: %t", lost > 0)
	return lost > 0, nil
}

// outage lets the store be silent, and kills the holder of the failover lease, which starts again as the store returns.
// The entries come back within two seconds, that of the primary and of one replica last.
func (b *bench) outage() error {
	holder := b.holder()
	b.log.note("the store goes down; %s holds the failover lease", holder.name)
	b.store.goDown()
	time.Sleep(outageTime - 400*time.Millisecond)
	holder.kill()
	b.log.note("%s is killed", holder.name)
	time.Sleep(400 * time.Millisecond)
	b.db.mu.Lock()
	leader := b.db.leader
	b.db.mu.Unlock()
	pauses := map[*server]time.Duration{}
	for _, v := range b.db.servers {
		pauses[v] = 100 * time.Millisecond
	}
	quiet := 0
	for _, v := range b.db.servers {
		switch {
		case v == leader:
			pauses[v] = 1900 * time.Millisecond
		case quiet == 0:
			quiet++
			pauses[v] = 1800 * time.Millisecond
		}
	}
	for v, pause := range pauses {
		v.stayQuiet(pause)
		b.log.note("%s will report again %s after the return of the store", v.id, pause)
	}
	b.store.comeBack()
	b.log.note("the store is back")
	time.Sleep(100 * time.Millisecond)
	b.log.note("%s starts again", holder.name)
	return holder.start()
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
