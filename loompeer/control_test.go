package loompeer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"

	"currantloom.example/currantloom"
)

// fakeHandler records what arrives over the control protocol.
type fakeHandler struct {
	pushed    chan currantloom.RulesUpdate
	cancelled chan any
	status    currantloom.NodeStatus
	update    currantloom.RulesUpdate
}

func (f *fakeHandler) PushRules(_ currantloom.VMName, u currantloom.RulesUpdate) { f.pushed <- u }

func (f *fakeHandler) PullRules(
	_ currantloom.VMName, revision currantloom.RulesRevision,
) (currantloom.RulesRevision, *currantloom.RulesUpdate) {
	if revision >= f.update.Revision {
		return f.update.Revision, nil
	}
	return f.update.Revision, &f.update
}

func (f *fakeHandler) Status() currantloom.NodeStatus           { return f.status }
func (f *fakeHandler) CancelRequest(key currantloom.RequestKey) { f.cancelled <- key }
func (f *fakeHandler) CancelSession(_ uint32, secret []byte)    { f.cancelled <- string(secret) + "!" }
func testContext(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 5*time.Second)
}

func startControl(t *testing.T) (*fakeHandler, *ControlClient, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	position := currantloom.NewLogPosition(3, 17)
	node := &fakeHandler{
		pushed: make(chan currantloom.RulesUpdate, 4), cancelled: make(chan any, 4),
		update: currantloom.RulesUpdate{Revision: 7, ChangeID: "c", Text: "leave a # x", Digest: "d"},
		status: currantloom.NodeStatus{
			VM: "vm-1", Region: "ost", FailureDomain: "ost-linz", Version: "1", Revision: 7, Ready: true, Uptime: time.Minute,
			VMs: []currantloom.VMReport{{
				Name: "vm-1", Region: "ost", FailureDomain: "ost-linz", ControlAddress: "c", Leaving: true,
			}},
			Databases: []currantloom.DatabaseReport{{
				Name: "core", Term: 3, Primary: "a",
				Upstreams: []currantloom.UpstreamReport{{
					Name: "a", Owner: "vm-1", Owned: true, Polled: true, StatusAge: time.Second, Running: 1, Waiting: 2,
					Connections: 3, Status: currantloom.PostgresStatus{
						Role: currantloom.RolePrimary, Term: 3, GrantedTerm: 3, Position: position,
					},
				}},
			}},
		},
	}
	server := &ControlServer{Handler: node}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	client := &ControlClient{}
	t.Cleanup(func() {
		_ = client.Close()
		_ = listener.Close()
		_ = server.Close()
		<-done
		goleak.VerifyNone(t)
	})
	return node, client, listener.Addr().String()
}

// TestControlMessages guards against fields that are lost when control messages are encoded and decoded.
func TestControlMessages(t *testing.T) {
	node, client, address := startControl(t)
	ctx, cancel := testContext(t)
	defer cancel()
	status, err := client.Status(ctx, address)
	if err != nil || !reflect.DeepEqual(status, node.status) {
		t.Errorf("got status %+v, %v, want %+v", status, err, node.status)
	}
	revision, update, err := client.PullRules(ctx, address, "vm-2", 6)
	if err != nil || revision != 7 || update == nil || !reflect.DeepEqual(*update, node.update) {
		t.Errorf("got revision %d with %+v, %v", revision, update, err)
	}
	if _, update, err = client.PullRules(ctx, address, "vm-2", 7); err != nil || update != nil {
		t.Errorf("with the same revision: got %+v, %v", update, err)
	}
	want := currantloom.RulesUpdate{
		Revision: 8, BaseRevision: 7, StartLine: 3, RemovedLines: 1, InsertedLines: []string{"x"}, Digest: "e",
	}
	if err := client.PushRules(ctx, address, "vm-2", want); err != nil {
		t.Fatal(err)
	}
	if got := <-node.pushed; !reflect.DeepEqual(got, want) {
		t.Errorf("got push %+v, want %+v", got, want)
	}
	key := currantloom.RequestKey{VM: "vm-2", Number: 5}
	if err := client.CancelRequest(ctx, address, key); err != nil || <-node.cancelled != key {
		t.Errorf("cancel of a request: %v", err)
	}
	if err := client.CancelSession(ctx, address, 9, []byte("secret")); err != nil || <-node.cancelled != "secret!" {
		t.Errorf("cancel of a session: %v", err)
	}
}

// TestControlSilentPeer guards against calls to a silent node that never return, and against reuse of the connection
// after such a call.
func TestControlSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client := &ControlClient{}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Status(ctx, listener.Addr().String()); err == nil {
		t.Error("a call to a silent peer succeeded")
	}
	if len(client.conns) != 0 {
		t.Error("the connection to the silent peer is kept")
	}
}

// TestControlObjectBound guards against objects over the size limit, for which a length prefix alone would allocate
// memory.
func TestControlObjectBound(t *testing.T) {
	var v any
	input := bufio.NewReader(strings.NewReader("\xff\xff\xff\xff{}"))
	if err := (boundedCodec{}).ReadObject(input, &v); err == nil {
		t.Error("an object of 4 GB was accepted")
	}
	if err := (boundedCodec{}).WriteObject(&bytes.Buffer{}, strings.Repeat("x", maxControlObjectSize)); err == nil {
		t.Error("an object over the bound was sent")
	}
}

// TestMessageSizes guards against control messages that exceed the budget of 3 KB/s per node. It logs the sizes for the
// capacity page.
func TestMessageSizes(t *testing.T) {
	size := func(method string, params any, notify bool) int {
		r := &jsonrpc2.Request{Method: method, Notif: notify}
		if err := r.SetParams(params); err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := (boundedCodec{}).WriteObject(&b, r); err != nil {
			t.Fatal(err)
		}
		return b.Len()
	}
	line := "read wheel-core-0417 caller steyr max-age 5s               # asked by dispatch steyr, release 12 of 2026\n"
	before := currantloom.NewRulesDocument(1000, "0123456789abcdef", strings.Repeat(line, 500))
	after := currantloom.NewRulesDocument(1001, "0123456789abcdef", before.Text()+line)
	push := size(methodPush, newPushMessage("vm-linz-0417", currantloom.NewRulesUpdate(before, after)), true)
	pull := size(methodPull, pullMessage{From: "vm-linz-0417", Revision: 1001}, false)
	result, err := json.Marshal(pullResult{Revision: 1001})
	if err != nil {
		t.Fatal(err)
	}
	resultSize := len(result) + len(`....{"id":12345,"result":,"jsonrpc":"2.0"}`)
	t.Logf("push of one line %d bytes, pull %d, answer without rules %d", push, pull, resultSize)
	if push > 450 || pull+resultSize > 250 {
		t.Errorf("push %d bytes, pull and answer %d bytes", push, pull+resultSize)
	}
}
