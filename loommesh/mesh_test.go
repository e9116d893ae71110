package loommesh

import (
	"net"
	"sync"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// recorder is an owner that keeps what happens.
type recorder struct {
	mu       sync.Mutex
	messages chan currantloom.Message
	links    chan uint64
	down     chan bool
	closed   chan uint64
	// hold delays the report of the end of a link.
	hold chan struct{}
}

func newRecorder() *recorder {
	return &recorder{
		messages: make(chan currantloom.Message, 100), links: make(chan uint64, 100), down: make(chan bool, 10),
		closed: make(chan uint64, 10),
	}
}

func (r *recorder) MessageReceived(_ currantloom.VMName, link uint64, m currantloom.Message) {
	r.messages <- m
	r.links <- link
}

func (r *recorder) OutgoingLinkClosed(_ currantloom.VMName, sent bool, forget func()) {
	if r.hold != nil {
		<-r.hold
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	forget()
	r.down <- sent
}

func (r *recorder) IncomingLinkClosed(link uint64) { r.closed <- link }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func take[T any](t *testing.T, from chan T, what string) T {
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
	l := listen(t)
	m := New(name, r)
	go func() { _ = m.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		_ = m.Close()
	})
	return m, currantloom.NewVM(name, currantloom.Location{}, l.Addr().String(), "", currantloom.VMLive)
}

// TestQuestionAndAnswer guards against messages that are lost, come out of order, or are answered over another link.
func TestQuestionAndAnswer(t *testing.T) {
	asker, answerer := newRecorder(), newRecorder()
	a, _ := startMesh(t, "vm-a", asker)
	b, vm := startMesh(t, "vm-b", answerer)
	const count = 50
	for i := range uint64(count) {
		a.Send(vm, currantloom.Ping{Number: i})
	}
	for i := range uint64(count) {
		got := take(t, answerer.messages, "question")
		if p, ok := got.(currantloom.Ping); !ok || p.Number != i {
			t.Fatalf("question %+v in place of number %d", got, i)
		}
		b.Respond(take(t, answerer.links, "link"), currantloom.Pong{Number: i})
		if p, ok := take(t, asker.messages, "answer").(currantloom.Pong); !ok || p.Number != i {
			t.Fatalf("answer %+v in place of number %d", p, i)
		}
	}
}

// TestLinkDownBeforeNextLink guards against a message that goes over a new link before the owner has learnt that the
// old one failed: the failure of the new link, over which nothing was sent, would then count for both.
func TestLinkDownBeforeNextLink(t *testing.T) {
	asker := newRecorder()
	asker.hold = make(chan struct{})
	a, _ := startMesh(t, "vm-a", asker)
	l := listen(t)
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
	close(asker.hold)
	if sent := take(t, asker.down, "end of the link"); !sent {
		t.Error("the end of the link came as one over which nothing was sent")
	}
	a.Send(vm, currantloom.Ping{Number: 3})
	if sent := take(t, asker.down, "end of the second link"); sent {
		t.Error("the second link was never open")
	}
}

// TestSilentPeer guards against a node that waits for a peer that accepts a link and never answers.
func TestSilentPeer(t *testing.T) {
	asker := newRecorder()
	a, _ := startMesh(t, "vm-a", asker)
	l := listen(t)
	defer func() { _ = l.Close() }()
	vm := currantloom.NewVM("vm-b", currantloom.Location{}, l.Addr().String(), "", currantloom.VMLive)
	a.Send(vm, currantloom.Ping{Number: 1})
	a.Reset("vm-b")
	select {
	case <-asker.down:
		t.Error("a link that the owner reset was reported")
	case <-time.After(100 * time.Millisecond):
	}
}
