package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is memoryMb of the settings, in bytes. The platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	// memoryInterval is how often the platform looks at the memory of a process.
	memoryInterval = 10 * time.Millisecond
	// openSessions is the number of sessions that stand open, as on Rollwerk's sheet.
	openSessions = 292
	// largeData and smallData are the sizes of the data of a write. A message has at most 1 MiB.
	largeData, smallData = 1_000_000, 1_000
	// restartDelay is the delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// memoryRounds is how often the sessions write to each of two nodes, faultyEnds how often the processes of each must
	// end for the rule to be broken.
	memoryRounds, faultyEnds = 5, 3
)

// runMemory lets all open sessions write data of almost 1 MiB at the same time, through one node at a time, as when the
// others are lost. Rule Fault: processes do not end by themselves, and memory over the limit counts.
func runMemory(w *world) ([]string, error) {
	size := smallData
	if w.trouble {
		size = largeData
	}
	var violations []string
	ends := make(map[string]int)
	for round := range memoryRounds {
		for _, n := range w.nodes[:2] {
			peak, killed, err := w.writeThrough(n, size, round)
			if err != nil {
				return nil, err
			}
			w.record.add("round %d, %s: memory %d MiB at its peak, killed %t", round+1, n.name, peak>>20, killed)
			if killed {
				ends[n.name]++
				violations = append(violations, fmt.Sprintf("%s exceeded %d MiB in round %d and was killed", n.name,
					memoryLimit>>20, round+1))
			}
		}
	}
	for _, n := range w.nodes[:2] {
		if ends[n.name] < faultyEnds {
			return nil, nil
		}
	}
	return violations, nil
}

// writeThrough lets all sessions write through a node. It returns the largest memory of the node's process, and whether
// the platform had to kill it; it is then started again.
func (w *world) writeThrough(n *node, size, round int) (int, bool, error) {
	stop := make(chan struct{})
	var peak int
	var killed atomic.Bool
	var watch sync.WaitGroup
	watch.Go(func() { peak = w.watchMemory(n, stop, &killed) })
	outcomes := make(map[string]int)
	var mu sync.Mutex
	var clients sync.WaitGroup
	data := strings.Repeat("x", size)
	var connected sync.WaitGroup
	connected.Add(openSessions)
	for i := range openSessions {
		clients.Go(func() {
			outcome := w.writeOnce(n, fmt.Sprintf("m%d-%d", round, i), data, &connected)
			mu.Lock()
			outcomes[outcome]++
			mu.Unlock()
		})
	}
	clients.Wait()
	close(stop)
	watch.Wait()
	w.record.add("%s: %d sessions, answers %v", n.name, openSessions, outcomes)
	if !killed.Load() {
		return peak, false, nil
	}
	n.ended.Wait()
	time.Sleep(restartDelay)
	if err := w.startNode(n); err != nil {
		return peak, true, err
	}
	return peak, true, w.awaitReady()
}

// writeOnce opens a session, waits until all have one, and writes. It returns what the client got.
func (w *world) writeOnce(n *node, id, data string, connected *sync.WaitGroup) string {
	c, err := w.connect(n)
	connected.Done()
	if err != nil {
		return "no session"
	}
	defer c.close()
	connected.Wait()
	a, err := c.query(id, "WRITE 1 "+data)
	switch {
	case err != nil:
		return "connection broke without an answer"
	case a.code != "":
		code, _, _ := strings.Cut(a.code, " ")
		return code
	default:
		return "success"
	}
}

// watchMemory kills the node's process when it exceeds its limit. It returns the largest memory that was seen.
func (w *world) watchMemory(n *node, stop chan struct{}, killed *atomic.Bool) int {
	peak := 0
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(memoryInterval):
		}
		used := residentMemory(n.command.Process.Pid)
		peak = max(peak, used)
		if used > memoryLimit && !killed.Load() {
			killed.Store(true)
			w.record.add("%s uses %d MiB of %d and is killed", n.name, used>>20, memoryLimit>>20)
			_ = n.command.Process.Kill()
		}
	}
}

// residentMemory returns the resident memory of a process in bytes; zero if it has ended.
func residentMemory(pid int) int {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes << 10
		}
	}
	return 0
}
