package loommesh

import (
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// recorder is a Handler that records the events of links.
type recorder struct {
	mu             sync.Mutex
	messages       chan currantloom.Message
	links          chan uint64
	outboundFailed chan bool
	inboundClosed  chan uint64
	// blockReport delays OutboundLinkFailed until it is closed; nil does not delay it.
	blockReport chan struct{}
}

func newRecorder() *recorder {
	return &recorder{
		messages: make(chan currantloom.Message, 100), links: make(chan uint64, 100), outboundFailed: make(chan bool, 10),
		inboundClosed: make(chan uint64, 10),
	}
}

func (r *recorder) MessageReceived(_ currantloom.VMName, link uint64, m currantloom.Message) {
	r.messages <- m
	r.links <- link
}

func (r *recorder) OutboundLinkFailed(_ currantloom.VMName, sent bool, remove func()) {
	if r.blockReport != nil {
		<-r.blockReport
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	remove()
	r.outboundFailed <- sent
}

func (r *recorder) InboundLinkClosed(link uint64) { r.inboundClosed <- link }

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func receive[T any](t *testing.T, from chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(5 * time.Second):
		t.Fatalf("no %s within 5 s", what)
		panic("unreachable")
	}
}

func startMesh(t *testing.T, name currantloom.VMName, r *recorder) (*Mesh, currantloom.VM) {
	t.Helper()
	l := listenLocal(t)
	m := New(name, r)
	go func() { _ = m.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		_ = m.Close()
	})
	return m, currantloom.NewVM(name, currantloom.Location{}, l.Addr().String(), "", currantloom.VMLive)
}

// TestRequestAndResponse guards against messages that are lost or reordered, and against responses that go over another
// link than the request. The requester sends 50 pings; each must arrive in order and get the pong of the same number.
func TestRequestAndResponse(t *testing.T) {
	requester, responder := newRecorder(), newRecorder()
	a, _ := startMesh(t, "vm-a", requester)
	b, vm := startMesh(t, "vm-b", responder)
	const count = 50
	for i := range uint64(count) {
		a.Send(vm, currantloom.Ping{Number: i})
	}
	for i := range uint64(count) {
		got := receive(t, responder.messages, "request")
		if p, ok := got.(currantloom.Ping); !ok || p.Number != i {
			t.Fatalf("got request %+v, want number %d", got, i)
		}
		b.Respond(receive(t, responder.links, "link"), currantloom.Pong{Number: i})
		if p, ok := receive(t, requester.messages, "response").(currantloom.Pong); !ok || p.Number != i {
			t.Fatalf("got response %+v, want number %d", p, i)
		}
	}
}

// TestCloseReportedBeforeNextLink guards against a message that opens a new link before the handler knows that the old
// link has failed. If the new link then fails before anything was sent over it, the handler would conclude that nothing
// was sent over either of them.
func TestCloseReportedBeforeNextLink(t *testing.T) {
	requester := newRecorder()
	requester.blockReport = make(chan struct{})
	a, _ := startMesh(t, "vm-a", requester)
	l := listenLocal(t)
	vm := currantloom.NewVM("vm-b", currantloom.Location{}, l.Addr().String(), "", currantloom.VMLive)
	a.Send(vm, currantloom.Ping{Number: 1})
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 64)
	if _, err := conn.Read(buffer); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond)
	a.Send(vm, currantloom.Ping{Number: 2})
	time.Sleep(50 * time.Millisecond)
	close(requester.blockReport)
	if sent := receive(t, requester.outboundFailed, "end of the link"); !sent {
		t.Error("the end of the first link was reported as if nothing had been sent")
	}
	a.Send(vm, currantloom.Ping{Number: 3})
	if sent := receive(t, requester.outboundFailed, "end of the second link"); sent {
		t.Error("the end of the second link was reported as if messages had been sent, but it was never open")
	}
}

// TestResetSilentPeer guards against a Reset or Close that waits for a peer that accepts a link and never answers, and
// against a report of the end of a link that was reset.
func TestResetSilentPeer(t *testing.T) {
	requester := newRecorder()
	a, _ := startMesh(t, "vm-a", requester)
	l := listenLocal(t)
	defer func() { _ = l.Close() }()
	vm := currantloom.NewVM("vm-b", currantloom.Location{}, l.Addr().String(), "", currantloom.VMLive)
	a.Send(vm, currantloom.Ping{Number: 1})
	a.Reset("vm-b")
	select {
	case <-requester.outboundFailed:
		t.Error("the end of a link that was reset was reported")
	case <-time.After(100 * time.Millisecond):
	}
}

// TestIdleLinkMemory guards against links that take much memory while they are idle. A node of 1,200 has a link to and
// from each other one. All of them may take 256 MB, and the heap grows to three times what is live.
func TestIdleLinkMemory(t *testing.T) {
	const (
		links = 2 * 1199
		limit = 256 << 20 / 3 / links
	)
	heapSize := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapSize()
	idle := make([]*link, links)
	for i := range idle {
		idle[i] = newLink()
	}
	size := int(heapSize()-before)/links + 2*bufferSize
	runtime.KeepAlive(idle)
	if size > limit {
		t.Errorf("%d bytes for each idle link, want at most %d", size, limit)
	}
}
