package loommesh

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// sampleMessages holds every kind of message with all fields set.
func sampleMessages() []currantloom.Message {
	key := currantloom.RequestKey{VM: "vm-1", Number: 1<<33 | 5, Attempt: 2}
	mark := currantloom.NewMark(3, 1207)
	taken := currantloom.Sample{Service: "s", Upstream: "u", Mark: mark, Age: 5 * time.Millisecond}
	return []currantloom.Message{
		currantloom.Call{
			Key: key, Service: "s", Upstream: "u", Mode: currantloom.CallOpenRead, Transaction: key,
			Command: currantloom.Command{
				Kind: currantloom.CommandExecute, ID: "id", Text: "text", After: mark, Name: "n", Argument: "a", Writes: true,
				Commits: true, Term: 4,
			},
			After: mark, MaxAge: time.Hour, Settings: []currantloom.Setting{{Name: "n", Value: "v"}},
			Prepared: currantloom.Prepared{Writes: true, Shape: "q"}, Timeout: time.Second, Wait: time.Millisecond,
			Goal:     time.Minute,
			Priority: 2, TransactionIdle: 3 * time.Second,
		},
		currantloom.CallAnswer{
			Key: key, Verdict: currantloom.Ran, Reason: currantloom.ReasonRefused, Wait: time.Second, Sample: taken,
			Required: mark, Fresh: time.Minute,
			Reply: currantloom.Reply{
				Rows: []string{"a", ""}, Signature: "sig", Code: currantloom.CodeBusy, Detail: "d", State: 'T', Mark: mark,
				Status: &currantloom.ReplicationStatus{Primary: true, Term: 3, Received: mark},
			},
		},
		currantloom.CallCancel{Key: key},
		currantloom.TransactionEnd{Transaction: key},
		currantloom.Ping{Number: 7, Service: "s"},
		currantloom.Pong{
			Number: 7, Leaving: true, StoreReachable: true, Version: 9,
			Upstreams: []currantloom.UpstreamReport{{
				Name: "u", Service: "s", Up: true, Down: true, Stuck: true, Open: 2, Wait: time.Second, Mark: mark,
			}},
			Samples: []currantloom.Sample{taken}, Acked: []currantloom.AckedMark{{Service: "s", Mark: mark}},
		},
		currantloom.UpstreamFailed{Report: currantloom.UpstreamReport{
			Name: "u", Service: "s", Up: true, Down: true, Stuck: true, Open: 2, Wait: time.Second, Mark: mark,
		}},
		currantloom.Leaving{},
		currantloom.Hold{Service: "s", For: time.Second, Commits: true},
		currantloom.Promoted{Service: "s", Upstream: "u", Term: 4},
		currantloom.ItemsRequest{},
		currantloom.Items{
			Items: []currantloom.StoreItem{{Key: "k", Value: []byte("v"), Revision: 8, Deleted: true}}, Push: true, Base: 7,
			Revision: 8,
		},
	}
}

// TestCodec guards against a field that is lost, or that another field is taken for, on the way between nodes.
func TestCodec(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := read(bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("decoded\n%+v\nin place of\n%+v", got, m)
		}
	}
}

// FuzzDecode guards against bytes of a peer that crash the node or make it allocate without limit.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data[lengthSize:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		if _, err := encode(m); err != nil {
			t.Errorf("decoded message cannot be encoded: %v", err)
		}
	})
}
