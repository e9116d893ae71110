package loomstore

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"currantloom.example/currantloom"
)

const (
	servicePath = "/v1/catalog/service/"
	// nodeService and serverService are the services of VMs that run nodes and of database servers.
	nodeService   = "currantloom"
	serverService = "database-server"
	// listWait bounds the time for which a silent connection hides a change. With 1,200 nodes the
	// platform gets 360 reads/s of the 2,000 it handles (docs/CAPACITY.md).
	listWait = 10 * time.Second
	leaving  = "leaving"
)

// VMList implements currantloom.VMList.
type VMList struct {
	client *client
	wait   time.Duration

	mu sync.Mutex
	// number is the index of the last result; it increases when the index of either service changes. The services
	// have separate indexes: with a common one a change of one service could pass unseen between two reads.
	number uint64
	nodes  uint64
	server uint64
}

// NewVMList returns the list of the platform at the address ("IP:port").
func NewVMList(address string) *VMList { return &VMList{client: newClient(address), wait: listWait} }

// Close closes idle connections.
func (l *VMList) Close() error {
	l.client.close()
	return nil
}

// wireService is an element of an answer of the catalog API.
type wireService struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
}

// services is the answer to the read of one service.
type services struct {
	list  []wireService
	index uint64
	err   error
}

// VMs returns the list once it changes after the index. Both services are watched; the first one that changes ends
// the wait of the other.
func (l *VMList) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	nodes, servers := l.watch(ctx, l.indexes(after))
	if nodes.err != nil {
		return currantloom.VMSet{}, nodes.err
	}
	if servers.err != nil {
		return currantloom.VMSet{}, servers.err
	}
	set := currantloom.VMSet{Index: l.record(nodes.index, servers.index)}
	for _, w := range nodes.list {
		if vm, ok := w.vm(); ok {
			set.VMs = append(set.VMs, vm)
		}
	}
	for _, w := range servers.list {
		if w.ServiceMeta["state"] == leaving {
			set.LeavingUpstreams = append(set.LeavingUpstreams, currantloom.UpstreamName(w.Node))
		}
	}
	slices.SortFunc(set.VMs, func(a, b currantloom.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	slices.Sort(set.LeavingUpstreams)
	return set, nil
}

// indexes returns the indexes of the services that belong to the index of a result, or zeros if it is not the last one.
func (l *VMList) indexes(number uint64) map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number == 0 || number != l.number {
		return map[string]uint64{nodeService: 0, serverService: 0}
	}
	return map[string]uint64{nodeService: l.nodes, serverService: l.server}
}

// record returns the index of a result.
func (l *VMList) record(nodes, server uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.number == 0 || nodes != l.nodes || server != l.server {
		l.number++
		l.nodes, l.server = nodes, server
	}
	return l.number
}

// watch reads both services after the given indexes.
func (l *VMList) watch(ctx context.Context, after map[string]uint64) (nodes, servers services) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := map[string]chan services{nodeService: make(chan services, 1), serverService: make(chan services, 1)}
	for name, answer := range answers {
		go func() { answer <- l.read(watchCtx, name, after[name]) }()
	}
	select {
	case nodes = <-answers[nodeService]:
		cancel()
		<-answers[serverService]
		servers = l.read(ctx, serverService, 0)
	case servers = <-answers[serverService]:
		cancel()
		<-answers[nodeService]
		nodes = l.read(ctx, nodeService, 0)
	}
	return nodes, servers
}

func (l *VMList) read(ctx context.Context, name string, after uint64) services {
	a, err := l.client.read(ctx, servicePath+name, after, l.wait)
	if err != nil {
		return services{err: err}
	}
	s := services{index: a.index}
	if len(a.body) > 0 {
		s.err = l.client.decode(a, &s.list)
	}
	return s
}

// vm returns the VM that an entry describes. An entry without usable addresses is left out, so that one malformed
// entry does not hide the others.
func (w wireService) vm() (currantloom.VM, bool) {
	host := w.ServiceAddress
	if host == "" {
		host = w.Address
	}
	links, okLinks := joinPort(host, w.ServiceMeta["links-port"])
	control, okControl := joinPort(host, w.ServiceMeta["control-port"])
	if w.Node == "" || !okLinks || !okControl {
		return currantloom.VM{}, false
	}
	state := currantloom.VMLive
	if w.ServiceMeta["state"] == leaving {
		state = currantloom.VMLeaving
	}
	place := currantloom.NewLocation(
		currantloom.Region(w.ServiceMeta["region"]), currantloom.FailureDomain(w.ServiceMeta["failure-domain"]))
	return currantloom.NewVM(currantloom.VMName(w.Node), place, links, control, state), true
}

func joinPort(host, port string) (string, bool) {
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 || host == "" {
		return "", false
	}
	return net.JoinHostPort(host, port), true
}
