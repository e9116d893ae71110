package casekit3

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// memoryCheckInterval is the time between two looks at the memory of a process.
	memoryCheckInterval = 20 * time.Millisecond
	// readyTimeout and readyInterval bound the wait for nodes to be ready.
	readyTimeout, readyInterval = 15 * time.Second, 50 * time.Millisecond
)

// Node is a machine that runs the program of the deploy file.
type Node struct {
	// Name, Zone and Region are those of the settings. Address is that of the sessions.
	Name, Zone, Region, Address string
	// MemoryMB is the memory of the machine. The platform kills a process that exceeds it.
	MemoryMB int

	readiness, control string
	settings           string
	record             *Record

	mu sync.Mutex
	// lost says that the machine is gone for good.
	lost    bool
	command *exec.Cmd
	done    chan struct{}
	// exceeded counts the processes that the platform killed because of their memory, peak is the most that one had.
	exceeded, peak int
}

// Fleet is the nodes of a case.
type Fleet struct {
	// Binary is the program, Dir a temporary folder, Zones maps zones to regions.
	Binary, Dir string
	Zones       map[string]string
	// Bounds are further lines for the bounds of the settings.
	Bounds string
	Record *Record
	Nodes  []*Node
}

// Add adds a node at an IP of the loopback range.
func (f *Fleet) Add(name, zone, ip string, memoryMB int) error {
	n := &Node{
		Name: name, Zone: zone, Region: f.Zones[zone], MemoryMB: memoryMB, record: f.Record, done: make(chan struct{}),
	}
	for _, address := range []*string{&n.Address, &n.readiness, &n.control} {
		var err error
		if *address, err = FreeAddress(ip); err != nil {
			return err
		}
	}
	f.Nodes = append(f.Nodes, n)
	return nil
}

// maxSeeds is the number of seed nodes.
const maxSeeds = 3

// Start starts the nodes before a platform at an address, and waits until all are ready.
func (f *Fleet) Start(platform string) error {
	var zones, seeds string
	for zone, region := range f.Zones {
		zones += fmt.Sprintf("  %s: %q\n", zone, region)
	}
	for _, n := range f.Nodes[:min(maxSeeds, len(f.Nodes))] {
		seeds += fmt.Sprintf("  - %q\n", n.control)
	}
	f.closeOnSignal()
	for _, n := range f.Nodes {
		n.settings = fmt.Sprintf(settingsFormat, n.Name, n.Zone, n.Region, zones, n.Address, n.readiness, n.control, seeds,
			n.MemoryMB, f.Bounds, platform, platform)
		go n.run(f.Binary, f.Dir)
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		if f.countReady() == len(f.Nodes) {
			f.Record.Logf("all %d nodes are ready", len(f.Nodes))
			return nil
		}
	}
	return fmt.Errorf("nodes are not ready")
}

// closeOnSignal ends all processes if the case itself is told to end.
func (f *Fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Close()
		os.Exit(CouldNotRun)
	}()
}

func (f *Fleet) countReady() int {
	ready := 0
	for _, n := range f.Nodes {
		if n.IsReady() {
			ready++
		}
	}
	return ready
}

// IsReady asks the node whether it is ready.
func (n *Node) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.readiness+names.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Lose()
		if n.settings != "" {
			<-n.done
		}
	}
}

// run runs the program again and again until the machine is lost.
func (n *Node) run(binary, dir string) {
	defer close(n.done)
	path := filepath.Join(dir, n.Name+".yaml")
	if err := os.WriteFile(path, []byte(n.settings), 0o600); err != nil {
		n.record.Logf("%s: %v", n.Name, err)
		return
	}
	output, err := os.Create(filepath.Join(dir, n.Name+".log"))
	if err != nil {
		n.record.Logf("%s: %v", n.Name, err)
		return
	}
	defer func() { _ = output.Close() }()
	for {
		command := n.startProcess(binary, path, output)
		if command == nil {
			return
		}
		n.guard(command)
		time.Sleep(restartDelay)
	}
}

// startProcess starts the program; nil if the machine is lost.
func (n *Node) startProcess(binary, path string, output *os.File) *exec.Cmd {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost {
		return nil
	}
	// The program and its argument are those of the deploy file.
	command := exec.Command(binary, "platform") //nolint:gosec,noctx // a path that the case is called with
	command.Env = append(os.Environ(), names.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		n.record.Logf("%s: %v", n.Name, err)
		return nil
	}
	n.command = command
	return command
}

// guard waits for the end of the process, and kills it if it needs more memory than the machine has.
func (n *Node) guard(command *exec.Cmd) {
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	killed := false
	for {
		select {
		case <-ended:
			if !killed && !n.IsLost() {
				n.record.Logf("%s: process %d ended: %v", n.Name, command.Process.Pid, command.ProcessState)
			}
			return
		case <-time.After(memoryCheckInterval):
		}
		if mb := residentMB(command.Process.Pid); !killed && n.observeMemory(mb) {
			killed = true
			n.record.Logf("%s: process %d has %d MB of %d MB and is killed", n.Name, command.Process.Pid, mb, n.MemoryMB)
			_ = command.Process.Kill()
		}
	}
}

// observeMemory records the memory of the process in MB, and reports whether it is too much.
func (n *Node) observeMemory(mb int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peak = max(n.peak, mb)
	if mb <= n.MemoryMB || n.lost {
		return false
	}
	n.exceeded++
	return true
}

// Memory returns how many processes were killed because of their memory, and the most memory that one had, in MB.
func (n *Node) Memory() (exceeded, peak int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exceeded, n.peak
}

// IsLost reports whether the machine is gone.
func (n *Node) IsLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

// Lose ends the process for good.
func (n *Node) Lose() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost {
		return
	}
	n.lost = true
	if n.command != nil {
		_ = n.command.Process.Kill()
	}
}

// residentMB returns the resident memory of a process in MiB; zero if the process has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := bytes.Fields(data)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
