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
	// nodeService is the service of the VMs that run nodes, upstreamService that of the upstreams.
	nodeService     = "currantloom"
	upstreamService = "database-server"
	// vmListWaitTime bounds the time for which a change goes unnoticed on a connection that no longer delivers data. With
	// 1,200 nodes the platform gets 360 reads/s of the 2,000 that it handles (docs/CAPACITY.md).
	vmListWaitTime = 10 * time.Second
	leavingState   = "leaving"
)

// VMList implements currantloom.VMList.
type VMList struct {
	client   *client
	waitTime time.Duration

	mu sync.Mutex
	// resultIndex is the index of the last result. It increases when the index of either service changes. The indexes of
	// the services are kept separately: with a common index, a change of one service between two reads could be missed.
	resultIndex    uint64
	nodesIndex     uint64
	upstreamsIndex uint64
}

// NewVMList returns the VM list of the platform at the address ("IP:port").
func NewVMList(address string) *VMList {
	return &VMList{client: newClient(address), waitTime: vmListWaitTime}
}

// Close closes idle connections.
func (l *VMList) Close() error {
	l.client.close()
	return nil
}

// catalogEntry is an element of a response of the catalog API.
type catalogEntry struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
}

// serviceResult is the result of a read of one service.
type serviceResult struct {
	entries []catalogEntry
	index   uint64
	err     error
}

// VMs returns the list as soon as it differs from the one with the index after, or unchanged after the wait time. Both
// services are watched. The first one whose read returns ends the wait for the other.
func (l *VMList) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	nodes, upstreams := l.watch(ctx, l.serviceIndexes(after))
	if nodes.err != nil {
		return currantloom.VMSet{}, nodes.err
	}
	if upstreams.err != nil {
		return currantloom.VMSet{}, upstreams.err
	}
	set := currantloom.VMSet{Index: l.recordResult(nodes.index, upstreams.index)}
	for _, entry := range nodes.entries {
		if vm, ok := entry.vm(); ok {
			set.VMs = append(set.VMs, vm)
		}
	}
	for _, entry := range upstreams.entries {
		if entry.ServiceMeta["state"] == leavingState {
			set.LeavingUpstreams = append(set.LeavingUpstreams, currantloom.UpstreamName(entry.Node))
		}
	}
	slices.SortFunc(set.VMs, func(a, b currantloom.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	slices.Sort(set.LeavingUpstreams)
	return set, nil
}

// serviceIndexes returns the indexes of the services in the last result if it has the given index, and zeros otherwise.
func (l *VMList) serviceIndexes(index uint64) map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index == 0 || index != l.resultIndex {
		return map[string]uint64{nodeService: 0, upstreamService: 0}
	}
	return map[string]uint64{nodeService: l.nodesIndex, upstreamService: l.upstreamsIndex}
}

// recordResult records the indexes of the services in a new result and returns the index of the result.
func (l *VMList) recordResult(nodesIndex, upstreamsIndex uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resultIndex == 0 || nodesIndex != l.nodesIndex || upstreamsIndex != l.upstreamsIndex {
		l.resultIndex++
		l.nodesIndex, l.upstreamsIndex = nodesIndex, upstreamsIndex
	}
	return l.resultIndex
}

// watch waits until one of the services changes after its given index or the wait time has passed, then reads the other
// one without waiting.
func (l *VMList) watch(ctx context.Context, after map[string]uint64) (nodes, upstreams serviceResult) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := map[string]chan serviceResult{
		nodeService: make(chan serviceResult, 1), upstreamService: make(chan serviceResult, 1),
	}
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
	response, err := l.client.read(ctx, servicePath+name, after, l.waitTime)
	if err != nil {
		return serviceResult{err: err}
	}
	result := serviceResult{index: response.index}
	if len(response.body) > 0 {
		result.err = l.client.decode(response, &result.entries)
	}
	return result
}

// vm returns the VM that the entry describes. It reports false for an entry without a name or valid addresses: such an
// entry is skipped, so that one malformed entry does not hide the others.
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
