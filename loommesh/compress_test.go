package loommesh

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"currantloom.example/currantloom"
)

// configurationMessage returns a message with a configuration of the given number of routes, as operators write it.
func configurationMessage(routes int) currantloom.StoreItems {
	var value strings.Builder
	for i := range routes {
		fmt.Fprintf(&value, `{"host":"shop%d","policy":"session","service":"s%d","timeoutMs":800,"targetLatencyMs":3000,`+
			`"maxStalenessMs":2500,"priority":2,"public":false},`, i*7919%100_003, i%8)
	}
	return currantloom.StoreItems{Items: []currantloom.StoreItem{{
		Key: "configuration", Value: []byte(value.String()), Position: currantloom.NewStorePosition(2, 8),
	}}}
}

// TestLargeMessages guards against a large configuration that occupies the links of small VMs for seconds, and against
// one that is damaged on its way.
func TestLargeMessages(t *testing.T) {
	for _, routes := range []int{1, 30, 50, 1400} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			m := configurationMessage(routes)
			data, err := encode(m)
			if err != nil {
				t.Fatal(err)
			}
			if size := len(m.Items[0].Value); size > compressFrom && len(data) > size/5 {
				t.Errorf("%d bytes for a configuration of %d, want a fifth at most", len(data), size)
			}
			got, err := readMessage(bytes.NewReader(data))
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Errorf("decoded another message, %v", err)
			}
		})
	}
}

// TestCompressedMessagesAreBounded guards against a few bytes of a peer that take all memory when they are
// decompressed.
func TestCompressedMessagesAreBounded(t *testing.T) {
	compressed, err := compress(make([]byte, maxMessageSize+1))
	if err != nil {
		t.Fatal(err)
	}
	e := newEncoder()
	e.number(uint64(kindCompressed))
	e.bytes(compressed)
	data, err := e.finish()
	if err != nil {
		t.Fatal(err)
	}
	if m, err := readMessage(bytes.NewReader(data)); err == nil {
		t.Errorf("decoded %T", m)
	}
	m := currantloom.StoreItems{Items: []currantloom.StoreItem{{Value: make([]byte, maxMessageSize)}}}
	if _, err := encode(m); err == nil {
		t.Error("encoded a message that no node decodes")
	}
}

// TestSendAll guards against a message to several nodes that some of them do not get.
func TestSendAll(t *testing.T) {
	a, _ := startMesh(t, "vm-a", newRecorder())
	var recorders []*recorder
	var vms []currantloom.VM
	for i := range 3 {
		r := newRecorder()
		_, vm := startMesh(t, currantloom.VMName(fmt.Sprintf("vm-b%d", i)), r)
		recorders, vms = append(recorders, r), append(vms, vm)
	}
	want := configurationMessage(100)
	a.SendAll(vms, want)
	for _, r := range recorders {
		if got := receive(t, r.messages, "message"); !reflect.DeepEqual(got, want) {
			t.Errorf("got %T", got)
		}
	}
}
