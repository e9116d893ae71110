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

// meteringProxy forwards TCP connections on loopback and counts their payload bytes.
type meteringProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	// httpRequests is the number of HTTP GET requests, counted by their first bytes. A request is written in one piece,
	// so its start is never split.
	httpRequests atomic.Int64
	wait         sync.WaitGroup
	mu           sync.Mutex
	connections  []net.Conn
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func newMeteringProxy(target string) (*meteringProxy, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	p := &meteringProxy{listener: listener, target: target}
	p.wait.Go(p.serve)
	return p, nil
}

func (p *meteringProxy) address() string { return p.listener.Addr().String() }

func (p *meteringProxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		out, err := d.DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.connections = append(p.connections, in, out)
		p.mu.Unlock()
		p.wait.Go(func() { p.forward(in, out) })
		p.wait.Go(func() { p.forward(out, in) })
	}
}

func (p *meteringProxy) forward(to, from net.Conn) {
	_, _ = io.Copy(meteredWriter{to, p}, from)
	_ = to.Close()
}

func (p *meteringProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, c := range p.connections {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}

// meteredWriter counts bytes before it writes them, so that the count includes a response when the response arrives.
type meteredWriter struct {
	writer io.Writer
	proxy  *meteringProxy
}

func (w meteredWriter) Write(p []byte) (int, error) {
	w.proxy.bytes.Add(int64(len(p)))
	if bytes.HasPrefix(p, []byte("GET /")) {
		w.proxy.httpRequests.Add(1)
	}
	return w.writer.Write(p)
}

func networkMeasures() []capacityMeasure {
	calls := []int{25, 100, 400}
	usage := sync.OnceValues(measureIdleVMLists)
	return []capacityMeasure{
		{"status polls of a server, payload", "bytes", "poll", calls, 0, pollBytes},
		{"rules pulls without news, payload", "bytes", "pull", calls, 0, pullBytes},
		{"rules pushes of a changed line, payload", "bytes", "push", calls, 0, pushBytes},
		{"status polls, processor time with the server", "us", "poll", calls, 0, pollTime},
		{"memory of idle links, both ends", "bytes", "link", []int{250, 500, 1000}, designVMs, linkMemory},
		{"VM list, unchanged for 10 s, payload", "bytes", "VM in the list", vmListSizes, designVMs,
			func(vms int) (float64, error) {
				bySize, err := usage()
				return bySize[vms].bytes, err
			}},
		{"VM list, unchanged for 10 s, calls", "calls", "VM in the list", vmListSizes, designVMs,
			func(vms int) (float64, error) {
				bySize, err := usage()
				return bySize[vms].requests, err
			}},
		{"VM list read, processor time with the platform", "us", "VM in the list", vmListSizes, designVMs, vmListTime},
		{
			"SCRAM login, processor time at the node", "us", "login", []int{100, 400, 1600}, designClientConnections,
			serverLoginTime,
		},
		{"SCRAM login as a client of a server", "us", "login", []int{20, 40, 80}, 45, clientLoginTime},
	}
}

// runPolls sends n status polls to an upstream over one connection, which the first poll opens. It returns the bytes
// and the processor time of all polls.
func runPolls(n int) (size int64, took time.Duration, err error) {
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
	proxy, err := newMeteringProxy(group.Servers()[0].Address())
	if err != nil {
		return 0, 0, err
	}
	defer proxy.close()
	upstream := currantloom.NewPostgresUpstream("database-0000-a", "database-0000", proxy.address(), locationOf(0))
	pool := loomserver.NewPool(upstream, "currantloom", "")
	defer func() { _ = pool.Close() }()
	start := cpuTime()
	for range n {
		if _, err := pool.Status(context.Background()); err != nil {
			return 0, 0, err
		}
	}
	return proxy.bytes.Load(), cpuTime() - start, nil
}

func pollBytes(n int) (float64, error) {
	size, _, err := runPolls(n)
	return float64(size), err
}

func pollTime(n int) (float64, error) {
	_, took, err := runPolls(n)
	return float64(took.Microseconds()), err
}

// controlHandler handles the control protocol: it never has newer rules, and signals each push that arrives.
type controlHandler struct{ pushed chan struct{} }

func (c controlHandler) PushRules(currantloom.VMName, currantloom.RulesUpdate) {
	c.pushed <- struct{}{}
}

func (c controlHandler) PullRules(
	_ currantloom.VMName, revision currantloom.RulesRevision,
) (currantloom.RulesRevision, *currantloom.RulesUpdate) {
	return revision, nil
}
func (c controlHandler) Status() currantloom.NodeStatus       { return currantloom.NodeStatus{} }
func (c controlHandler) CancelRequest(currantloom.RequestKey) {}
func (c controlHandler) CancelSession(uint32, []byte)         {}

// measureControlBytes returns the bytes of n calls over one control connection.
func measureControlBytes(
	n int, send func(client *loompeer.ControlClient, address string, node controlHandler) error,
) (float64, error) {
	listener, err := listenLoopback()
	if err != nil {
		return 0, err
	}
	node := controlHandler{make(chan struct{}, 1)}
	server := loompeer.ControlServer{Handler: node}
	served := make(chan struct{})
	go func() { _ = server.Serve(listener); close(served) }()
	defer func() { _ = listener.Close(); <-served; _ = server.Close() }()
	proxy, err := newMeteringProxy(listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer proxy.close()
	var client loompeer.ControlClient
	defer func() { _ = client.Close() }()
	for range n {
		if err := send(&client, proxy.address(), node); err != nil {
			return 0, err
		}
	}
	return float64(proxy.bytes.Load()), nil
}

func pullBytes(n int) (float64, error) {
	return measureControlBytes(n, func(client *loompeer.ControlClient, address string, _ controlHandler) error {
		_, _, err := client.PullRules(context.Background(), address, "loom-vm-0001", 100_000)
		return err
	})
}

func pushBytes(n int) (float64, error) {
	update := currantloom.NewRulesUpdate(
		currantloom.NewRulesDocument(100_000, "0123456789abcdef", rulesText(rulesLineCount, 0)),
		currantloom.NewRulesDocument(100_001, "123456789abcdef0", rulesText(rulesLineCount, 1)))
	return measureControlBytes(n, func(client *loompeer.ControlClient, address string, node controlHandler) error {
		if err := client.PushRules(context.Background(), address, "loom-vm-0001", update); err != nil {
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

// vmListUsage is the cost of a repeated read of the VM list that ends unchanged, after loomstore's waiting time.
type vmListUsage struct{ bytes, requests float64 }

// vmListSizes are the measured lengths of the VM list.
var vmListSizes = []int{75, 300, designVMs}

// watchersPerList is the number of reads per list size, of which the one with the fewest bytes counts. The list
// consists of two services; if the read of the other service ends first, a part of the list may be sent twice.
const watchersPerList = 4

// measureIdleVMLists measures all list sizes at the same time, because each measurement takes 10 s.
func measureIdleVMLists() (map[int]vmListUsage, error) {
	measured := make([]vmListUsage, len(vmListSizes)*watchersPerList)
	errs := make([]error, len(measured))
	var wait sync.WaitGroup
	for i := range measured {
		wait.Go(func() { measured[i], errs[i] = measureIdleVMList(vmListSizes[i/watchersPerList]) })
	}
	wait.Wait()
	bySize := make(map[int]vmListUsage)
	for i, vms := range vmListSizes {
		bySize[vms] = slices.MinFunc(measured[i*watchersPerList:(i+1)*watchersPerList],
			func(a, b vmListUsage) int { return cmp.Compare(a.bytes, b.bytes) })
	}
	return bySize, errors.Join(errs...)
}

// startPlatform starts a platform stand-in with registered VMs, and a metering proxy in front of it.
func startPlatform(vms int) (*loomstandin.Platform, *meteringProxy, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, nil, err
	}
	platform := loomstandin.StartPlatform(listener, 0)
	for _, vm := range fleetVMs(vms).VMs {
		platform.RegisterVM(string(vm.Name()), vm.LinkAddress(), vm.ControlAddress(),
			string(vm.Location().Region()), string(vm.Location().FailureDomain()))
	}
	proxy, err := newMeteringProxy(platform.Address())
	if err != nil {
		return nil, nil, errors.Join(err, platform.Close())
	}
	return platform, proxy, nil
}

func measureIdleVMList(vms int) (vmListUsage, error) {
	platform, proxy, err := startPlatform(vms)
	if err != nil {
		return vmListUsage{}, err
	}
	defer func() { _ = platform.Close() }()
	defer proxy.close()
	list := loomstore.NewVMList(proxy.address())
	defer func() { _ = list.Close() }()
	set, err := list.VMs(context.Background(), 0)
	if err != nil {
		return vmListUsage{}, err
	}
	if len(set.VMs) != vms {
		return vmListUsage{}, fmt.Errorf("the list has %d VMs, want %d", len(set.VMs), vms)
	}
	bytesBefore, requestsBefore := proxy.bytes.Load(), proxy.httpRequests.Load()
	_, err = list.VMs(context.Background(), set.Index)
	return vmListUsage{float64(proxy.bytes.Load() - bytesBefore), float64(proxy.httpRequests.Load() - requestsBefore)}, err
}

// vmListTime returns the processor time of one read of the VM list, including that of the platform stand-in.
func vmListTime(vms int) (float64, error) {
	platform, proxy, err := startPlatform(vms)
	if err != nil {
		return 0, err
	}
	defer func() { _ = platform.Close() }()
	defer proxy.close()
	list := loomstore.NewVMList(proxy.address())
	defer func() { _ = list.Close() }()
	var failure error
	microseconds := minCPUTime(5, func() {
		_, err := list.VMs(context.Background(), 0)
		failure = errors.Join(failure, err)
	})
	return microseconds, failure
}
