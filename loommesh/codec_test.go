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
	mark := currantloom.NewLogPosition(3, 1207)
	taken := currantloom.PositionSample{Service: "s", Upstream: "u", Position: mark, Age: 5 * time.Millisecond}
	return []currantloom.Message{
		currantloom.Call{
			Key: key, Service: "s", Upstream: "u", Mode: currantloom.CallBeginRead, Transaction: key,
			Command: currantloom.Command{
				Kind: currantloom.CommandExecute, ID: "id", Text: "text", MinPosition: mark, Name: "n", Argument: "a", Writes: true,
				Commits: true, Term: 4,
			},
			MinPosition: mark, MaxAge: time.Hour, Settings: []currantloom.SessionSetting{{Name: "n", Value: "v"}},
			Prepared: currantloom.PreparedStatement{Writes: true, Definition: "q"}, Timeout: time.Second,
			QueueTimeout:  time.Millisecond,
			LatencyBudget: time.Minute,
			Priority:      2, IdleTransactionTimeout: 3 * time.Second,
		},
		currantloom.CallResult{
			Key: key, Verdict: currantloom.Ran, Reason: currantloom.ReasonRefused, QueueWait: time.Second, Sample: taken,
			RequiredPosition: mark, RequiredAge: time.Minute,
			Reply: currantloom.Reply{
				Rows: []string{"a", ""}, Signature: "sig", Code: currantloom.ReplyBusy, Detail: "d",
				TransactionStatus: 'T', Position: mark,
				ReplicationStatus: &currantloom.ReplicationStatus{Primary: true, Term: 3, Received: mark},
			},
		},
		currantloom.CancelCall{Key: key},
		currantloom.RollbackTransaction{Transaction: key},
		currantloom.Ping{Number: 7, Service: "s"},
		currantloom.Pong{
			Number: 7, ShuttingDown: true, StoreReachable: true, ConfigurationVersion: 9,
			Upstreams: []currantloom.UpstreamHealth{{
				Name: "u", Service: "s", Reachable: true, ConnectFailed: true, CommitsStalled: true,
				OpenWriteTransactions: 2, QueueWait: time.Second, Position: mark,
			}},
			Samples:        []currantloom.PositionSample{taken},
			AckedPositions: []currantloom.AckedPosition{{Service: "s", Position: mark}},
		},
		currantloom.UpstreamFailed{Health: currantloom.UpstreamHealth{
			Name: "u", Service: "s", Reachable: true, ConnectFailed: true, CommitsStalled: true,
			OpenWriteTransactions: 2, QueueWait: time.Second, Position: mark,
		}},
		currantloom.ShutdownNotice{},
		currantloom.BlockWrites{Service: "s", Duration: time.Second, BlockCommits: true},
		currantloom.PrimaryChanged{Service: "s", Upstream: "u", Term: 4},
		currantloom.StoreItemsRequest{},
		currantloom.StoreItems{
			Items: []currantloom.StoreItem{{Key: "k", Value: []byte("v"), Revision: 8, Deleted: true}}, Delta: true,
			BaseRevision: 7,
			Revision:     8,
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
