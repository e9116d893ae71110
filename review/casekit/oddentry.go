package main

import (
	"fmt"
	"time"
)

// recoverTime is recoveryS.
const recoverTime = 12 * time.Second

// runOddEntry checks RECOVER: the store holds an entry of another writer in which fields are missing, the primary is
// lost for good, and all processes are killed right after a configuration was acknowledged.
func runOddEntry(recordPath, binary string) (bool, error) {
	b, err := newBench(recordPath, binary, configuration(7, 800))
	if err != nil {
		return false, err
	}
	defer b.close()
	if err := b.startNodes(); err != nil {
		return false, err
	}
	if b.trouble {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return false, err
		}
		odd := fill(oddEntryFile, "SERVICE", serviceName, "ADDRESS", fmt.Sprintf("127.0.0.1:%d", port))
		b.store.put("servers/i-0ther", odd)
		b.log.note("another writer puts servers/i-0ther: %s", odd)
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	const end = 50 * time.Second
	first := b.log.now()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.clients.run(end, 40*time.Millisecond, "WRITE 1a4 xkqpwnzd", "READ 1a4")
	}()
	b.waitUntil(12 * time.Second)
	b.db.servers[0].crash()
	b.waitUntil(14 * time.Second)
	b.store.put(names.ConfigurationKey, configuration(9, 800))
	fault := b.log.now()
	for _, n := range b.nodes {
		n.kill()
	}
	b.log.note("final fault: all processes are killed")
	b.waitUntil(fault + time.Second)
	if err := b.startNodes(); err != nil {
		return false, err
	}
	back := b.log.now()
	b.log.note("the processes are back")
	<-sent
	sentBefore, servedBefore := b.clients.share(first, fault)
	sentAfter, servedAfter := b.clients.share(back+recoverTime, end-clientDeadline)
	b.log.note("before the final fault: %d sent, %d served", sentBefore, servedBefore)
	b.log.note("later than recoveryS after the return: %d sent, %d served", sentAfter, servedAfter)
	if servedBefore*4 < sentBefore || sentAfter == 0 {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	broken := servedAfter*4 < sentAfter
	b.log.note("RECOVER broken: %t", broken)
	return broken, nil
}
