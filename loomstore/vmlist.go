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
	nodeService     = "currantloom"
	upstreamService = "database-server"
	// vmListWait bounds the time for which a silent connection hides a change. With 1,200 nodes the
	// platform gets 360 reads/s of the 2,000 it handles (docs/CAPACITY.md).
	vmListWait   = 10 * time.Second
	leavingState = "leaving"
)

// VMList implements currantloom.VMList.
type VMList struct {
	client *client
	wait   time.Duration

	mu sync.Mutex
	// resultIndex is the index of the last result; it increases when the index of either service changes. The services
	// have separate indexes: with a common one a change of one service could pass unseen between two reads.
	resultIndex    uint64
	nodesIndex     uint64
	upstreamsIndex uint64
}

// NewVMList returns the list of the platform at the address ("IP:port").
func NewVMList(address string) *VMList { return &VMList{client: newClient(address), wait: vmListWait} }

// Close closes idle connections.
func (l *VMList) Close() error {
	l.client.close()
	return nil
}

// catalogEntry is an element of an answer of the catalog API.
type catalogEntry struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
}

// serviceResult is the answer to the read of one service.
type serviceResult struct {
	list  []catalogEntry
	index uint64
	err   error
}

// VMs returns the list once it changes after the index. Both services are watched; the first one that changes ends
// the wait of the other.
func (l *VMList) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	nodes, upstreams := l.watch(ctx, l.serviceIndexes(after))
	if nodes.err != nil {
		return currantloom.VMSet{}, nodes.err
	}
	if upstreams.err != nil {
		return currantloom.VMSet{}, upstreams.err
	}
	set := currantloom.VMSet{Index: l.recordResult(nodes.index, upstreams.index)}
	for _, entry := range nodes.list {
		if vm, ok := entry.vm(); ok {
			set.VMs = append(set.VMs, vm)
		}
	}
	for _, entry := range upstreams.list {
		if entry.ServiceMeta["state"] == leavingState {
			set.LeavingUpstreams = append(set.LeavingUpstreams, currantloom.UpstreamName(entry.Node))
		}
	}
	slices.SortFunc(set.VMs, func(a, b currantloom.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	slices.Sort(set.LeavingUpstreams)
	return set, nil
}

// serviceIndexes returns the indexes of the services that belong to the index of a result, or zeros if it is not the last one.
func (l *VMList) serviceIndexes(index uint64) map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index == 0 || index != l.resultIndex {
		return map[string]uint64{nodeService: 0, upstreamService: 0}
	}
	return map[string]uint64{nodeService: l.nodesIndex, upstreamService: l.upstreamsIndex}
}

// recordResult returns the index of a result.
func (l *VMList) recordResult(nodesIndex, upstreamsIndex uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resultIndex == 0 || nodesIndex != l.nodesIndex || upstreamsIndex != l.upstreamsIndex {
		l.resultIndex++
		l.nodesIndex, l.upstreamsIndex = nodesIndex, upstreamsIndex
	}
	return l.resultIndex
}

// watch reads both services after the given indexes.
func (l *VMList) watch(ctx context.Context, after map[string]uint64) (nodes, upstreams serviceResult) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := map[string]chan serviceResult{nodeService: make(chan serviceResult, 1), upstreamService: make(chan serviceResult, 1)}
	for name, result := range results {
		go func() { result <- l.read(watchCtx, name, after[name]) }()
	}
	select {
	case nodes = <-results[nodeService]:
		cancel()
		<-results[upstreamService]
		upstreams = l.read(ctx, upstreamService, 0)
	case upstreams = <-results[upstreamService]:
		cancel()
		<-results[nodeService]
		nodes = l.read(ctx, nodeService, 0)
	}
	return nodes, upstreams
}

func (l *VMList) read(ctx context.Context, name string, after uint64) serviceResult {
	response, err := l.client.read(ctx, servicePath+name, after, l.wait)
	if err != nil {
		return serviceResult{err: err}
	}
	result := serviceResult{index: response.index}
	if len(response.body) > 0 {
		result.err = l.client.decode(response, &result.list)
	}
	return result
}

// vm returns the VM that an entry describes. An entry without usable addresses is left out, so that one malformed
// entry does not hide the others.
func (e catalogEntry) vm() (currantloom.VM, bool) {
	host := e.ServiceAddress
	if host == "" {
		host = e.Address
	}
	links, linksOK := joinPort(host, e.ServiceMeta["links-port"])
	control, controlOK := joinPort(host, e.ServiceMeta["control-port"])
	if e.Node == "" || !linksOK || !controlOK {
		return currantloom.VM{}, false
	}
	state := currantloom.VMLive
	if e.ServiceMeta["state"] == leavingState {
		state = currantloom.VMLeaving
	}
	location := currantloom.NewLocation(
		currantloom.Region(e.ServiceMeta["region"]), currantloom.FailureDomain(e.ServiceMeta["failure-domain"]))
	return currantloom.NewVM(currantloom.VMName(e.Node), location, links, control, state), true
}

func joinPort(host, port string) (string, bool) {
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 || host == "" {
		return "", false
	}
	return net.JoinHostPort(host, port), true
}
