package loommeasure

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loompeer"
	"currantloom.example/currantloom/loomserver"
	"currantloom.example/currantloom/loomstandin"
	"currantloom.example/currantloom/loomstore"
)

// meter forwards connections on loopback and counts their bytes, without the headers of TCP and IP.
type meter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	// calls is the number of HTTP requests. A request is written at once, so its start is not divided.
	calls atomic.Int64
	wait  sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
}

// listenLoopback listens at a free port.
func listenLoopback() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func newMeter(target string) (*meter, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	m := &meter{listener: listener, target: target}
	m.wait.Go(m.serve)
	return m, nil
}

func (m *meter) address() string { return m.listener.Addr().String() }

func (m *meter) serve() {
	for {
		in, err := m.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		out, err := d.DialContext(context.Background(), "tcp", m.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		m.mu.Lock()
		m.conns = append(m.conns, in, out)
		m.mu.Unlock()
		m.wait.Go(func() { m.forward(in, out) })
		m.wait.Go(func() { m.forward(out, in) })
	}
}

func (m *meter) forward(to, from net.Conn) {
	_, _ = io.Copy(meteredWriter{to, m}, from)
	_ = to.Close()
}

func (m *meter) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	for _, c := range m.conns {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.wait.Wait()
}

// meteredWriter counts the bytes before it passes them on, so that the count is complete when an answer arrives.
type meteredWriter struct {
	w io.Writer
	m *meter
}

func (w meteredWriter) Write(p []byte) (int, error) {
	w.m.bytes.Add(int64(len(p)))
	if bytes.HasPrefix(p, []byte("GET /")) {
		w.m.calls.Add(1)
	}
	return w.w.Write(p)
}

func wireMeasures() []capacityMeasure {
	calls := []int{25, 100, 400}
	lists := sync.OnceValues(idleLists)
	return []capacityMeasure{
		{"status polls of a server, payload", "bytes", "poll", calls, 0, pollBytes},
		{"rules pulls without news, payload", "bytes", "pull", calls, 0, pullBytes},
		{"rules pushes of a changed line, payload", "bytes", "push", calls, 0, pushBytes},
		{"status polls, processor time with the server", "us", "poll", calls, 0, pollTime},
		{"memory of idle links, both ends", "bytes", "link", []int{250, 500, 1000}, designVMs, memoryOfLinks},
		{"VM list, unchanged for 10 s, payload", "bytes", "VM in the list", listSizes, designVMs,
			func(vms int) (float64, error) {
				uses, err := lists()
				return uses[vms].bytes, err
			}},
		{"VM list, unchanged for 10 s, calls", "calls", "VM in the list", listSizes, designVMs,
			func(vms int) (float64, error) {
				uses, err := lists()
				return uses[vms].calls, err
			}},
		{"VM list read, processor time with the platform", "us", "VM in the list", listSizes, designVMs, timeOfList},
		{"SCRAM login, processor time at the node", "us", "login", []int{100, 400, 1600}, designClients, loginAtNode},
		{"SCRAM login as a client of a server", "us", "login", []int{20, 40, 80}, 45, loginAsClient},
	}
}

// polls sends polls to a server on one connection, which the first one opens. It returns the bytes and the processor
// time of all.
func polls(n int) (size int64, took time.Duration, err error) {
	var listeners []net.Listener
	for range 3 {
		l, err := listenLoopback()
		if err != nil {
			return 0, 0, err
		}
		listeners = append(listeners, l)
	}
	group, err := loomstandin.StartGroup(loomstandin.Options{}, listeners...)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = group.Close() }()
	m, err := newMeter(group.Servers()[0].Address())
	if err != nil {
		return 0, 0, err
	}
	defer m.close()
	server := currantloom.NewPostgresUpstream("database-0000-a", "database-0000", m.address(), place(0))
	pool := loomserver.NewPool(server, "currantloom", "")
	defer func() { _ = pool.Close() }()
	start := processorTime()
	for range n {
		if _, err := pool.Status(context.Background()); err != nil {
			return 0, 0, err
		}
	}
	return m.bytes.Load(), processorTime() - start, nil
}

func pollBytes(n int) (float64, error) {
	size, _, err := polls(n)
	return float64(size), err
}

func pollTime(n int) (float64, error) {
	_, took, err := polls(n)
	return float64(took.Microseconds()), err
}

// capacityNode answers the control protocol for the measures: it has no newer rules and counts pushes.
type capacityNode struct{ pushed chan struct{} }

func (c capacityNode) PushRules(currantloom.VMName, currantloom.RulesUpdate) { c.pushed <- struct{}{} }

func (c capacityNode) PullRules(
	_ currantloom.VMName, revision currantloom.RulesRevision,
) (currantloom.RulesRevision, *currantloom.RulesUpdate) {
	return revision, nil
}
func (c capacityNode) Status() currantloom.NodeStatus       { return currantloom.NodeStatus{} }
func (c capacityNode) CancelRequest(currantloom.RequestKey) {}
func (c capacityNode) CancelSession(uint32, []byte)         {}

// controlBytes counts the bytes of n calls on one control connection.
func controlBytes(
	n int, call func(peers *loompeer.ControlClient, address string, node capacityNode) error,
) (float64, error) {
	listener, err := listenLoopback()
	if err != nil {
		return 0, err
	}
	node := capacityNode{make(chan struct{}, 1)}
	server := loompeer.ControlServer{Handler: node}
	served := make(chan struct{})
	go func() { _ = server.Serve(listener); close(served) }()
	defer func() { _ = listener.Close(); <-served; _ = server.Close() }()
	m, err := newMeter(listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer m.close()
	var peers loompeer.ControlClient
	defer func() { _ = peers.Close() }()
	for range n {
		if err := call(&peers, m.address(), node); err != nil {
			return 0, err
		}
	}
	return float64(m.bytes.Load()), nil
}

func pullBytes(n int) (float64, error) {
	return controlBytes(n, func(peers *loompeer.ControlClient, address string, _ capacityNode) error {
		_, _, err := peers.PullRules(context.Background(), address, "loom-vm-0001", 100_000)
		return err
	})
}

func pushBytes(n int) (float64, error) {
	update := currantloom.NewRulesUpdate(
		currantloom.NewRulesDocument(100_000, "0123456789abcdef", rulesText(rulesLines, 0)),
		currantloom.NewRulesDocument(100_001, "123456789abcdef0", rulesText(rulesLines, 1)))
	return controlBytes(n, func(peers *loompeer.ControlClient, address string, node capacityNode) error {
		if err := peers.PushRules(context.Background(), address, "loom-vm-0001", update); err != nil {
			return err
		}
		select {
		case <-node.pushed:
			return nil
		case <-time.After(time.Second):
			return errors.New("push did not arrive within 1 s")
		}
	})
}

// listUse is what a second read of the VM list needs that ends unchanged after the wait of loomstore.
type listUse struct{ bytes, calls float64 }

// listSizes are the lengths of the VM list.
var listSizes = []int{75, 300, designVMs}

// listWatchers is the number of nodes that watch each list. The one with the least bytes counts: when the read of the
// other service ends first, a part of the list may come twice.
const listWatchers = 4

// idleLists measures all sizes at the same time, because each takes 10 s.
func idleLists() (map[int]listUse, error) {
	uses := make([]listUse, len(listSizes)*listWatchers)
	errs := make([]error, len(uses))
	var wait sync.WaitGroup
	for i := range uses {
		wait.Go(func() { uses[i], errs[i] = idleList(listSizes[i/listWatchers]) })
	}
	wait.Wait()
	bySize := make(map[int]listUse)
	for i, vms := range listSizes {
		bySize[vms] = slices.MinFunc(uses[i*listWatchers:(i+1)*listWatchers],
			func(a, b listUse) int { return cmp.Compare(a.bytes, b.bytes) })
	}
	return bySize, errors.Join(errs...)
}

// startPlatform starts a platform that lists VMs, and a meter before it.
func startPlatform(vms int) (*loomstandin.Platform, *meter, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, nil, err
	}
	platform := loomstandin.StartPlatform(listener, 0)
	for _, vm := range fleetVMs(vms).VMs {
		platform.RegisterVM(string(vm.Name()), vm.LinkAddress(), vm.ControlAddress(),
			string(vm.Location().Region()), string(vm.Location().FailureDomain()))
	}
	m, err := newMeter(platform.Address())
	if err != nil {
		return nil, nil, errors.Join(err, platform.Close())
	}
	return platform, m, nil
}

func idleList(vms int) (listUse, error) {
	platform, m, err := startPlatform(vms)
	if err != nil {
		return listUse{}, err
	}
	defer func() { _ = platform.Close() }()
	defer m.close()
	list := loomstore.NewVMList(m.address())
	defer func() { _ = list.Close() }()
	set, err := list.VMs(context.Background(), 0)
	if err != nil {
		return listUse{}, err
	}
	if len(set.VMs) != vms {
		return listUse{}, fmt.Errorf("the list has %d VMs, want %d", len(set.VMs), vms)
	}
	size, calls := m.bytes.Load(), m.calls.Load()
	_, err = list.VMs(context.Background(), set.Index)
	return listUse{float64(m.bytes.Load() - size), float64(m.calls.Load() - calls)}, err
}

// timeOfList is the processor time of one read of the VM list, with that of the stand-in, which encodes it.
func timeOfList(vms int) (float64, error) {
	platform, m, err := startPlatform(vms)
	if err != nil {
		return 0, err
	}
	defer func() { _ = platform.Close() }()
	defer m.close()
	list := loomstore.NewVMList(m.address())
	defer func() { _ = list.Close() }()
	var failure error
	t := leastTime(5, func() {
		_, err := list.VMs(context.Background(), 0)
		failure = errors.Join(failure, err)
	})
	return t, failure
}
