package loommesh

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// sampleMessages returns one message of each kind with its fields set.
func sampleMessages() []currantloom.Message {
	key := currantloom.RequestKey{VM: "vm-1", Number: 1<<33 | 5, Attempt: 2}
	position := currantloom.NewLogPosition(3, 1207)
	load := currantloom.UpstreamLoad{
		Jobs: 3, RunTimes: [currantloom.WorkKinds]time.Duration{time.Second, time.Millisecond, 0, time.Minute},
		FailurePercent: 40, LostPercent: 2,
	}
	sample := currantloom.PositionSample{Service: "s", Upstream: "u", Position: position, Age: 5 * time.Millisecond}
	lagging := []currantloom.UpstreamPosition{{Upstream: "u", Position: position, Age: time.Second}}
	return []currantloom.Message{
		currantloom.Call{
			Key: key, Service: "s", Upstream: "u", Mode: currantloom.CallBeginRead, Organisation: "linz", Transaction: key,
			Command: currantloom.Command{
				Kind: currantloom.CommandExecute, ID: "id", Text: "text", MinPosition: position, Name: "n", Argument: "a",
				Writes: true, Commits: true, Term: 4,
			},
			MinPosition: position, MaxAge: time.Hour, AgePosition: position,
			Settings: []currantloom.SessionSetting{{Name: "n", Value: "v"}},
			Prepared: currantloom.PreparedStatement{Writes: true, Definition: "q"}, Timeout: time.Second,
			QueueTimeout:  time.Millisecond,
			LatencyBudget: time.Minute,
			Priority:      2, IdleTransactionTimeout: 3 * time.Second,
		},
		currantloom.CallResult{
			Key: key, Verdict: currantloom.Ran, Reason: currantloom.ReasonRefused, QueueWait: time.Second, Load: load,
			Sample: sample, RequiredPosition: position, RequiredAge: time.Minute, RetryAfter: 2 * time.Second,
			Lagging: lagging,
			Reply: currantloom.Reply{
				Rows: []string{"a", ""}, Signature: "sig", Code: currantloom.ReplyBusy, Detail: "d",
				TransactionStatus: 'T', Position: position,
				ReplicationStatus: &currantloom.ReplicationStatus{Primary: true, Term: 3, Received: position, Held: 4},
			},
		},
		currantloom.CancelCall{Key: key, ReportResult: true},
		currantloom.RollbackTransaction{Transaction: key},
		currantloom.Ping{Number: 7, Service: "s"},
		currantloom.ReplicaPositions{Positions: lagging},
		currantloom.Pong{
			Number: 7, ShuttingDown: true, StoreReachable: true, ConfigurationVersion: 9,
			Upstreams: []currantloom.UpstreamHealth{{
				Name: "u", Service: "s", Reachable: true, ConnectFailed: true, CommitsStalled: true,
				OpenWriteTransactions: 2, QueueWait: time.Second, Load: load, Position: position,
			}},
			Samples:        []currantloom.PositionSample{sample},
			AckedPositions: []currantloom.AckedPosition{{Service: "s", Position: position}},
			Drains:         []currantloom.UpstreamDrain{{Upstream: "u", Incarnation: 1 << 40, Age: 3 * time.Second}},
			FailoverLease:  currantloom.NewStorePosition(2, 9), Changing: []currantloom.ServiceName{"s", "t"},
			HoldsCommitLease: true,
			Announced:        []currantloom.AnnouncedPromotion{{Service: "s", Upstream: "u", Age: time.Second}},
		},
		currantloom.Pong{Number: 8},
		currantloom.UpstreamFailed{Health: currantloom.UpstreamHealth{
			Name: "u", Service: "s", Reachable: true, ConnectFailed: true, CommitsStalled: true,
			OpenWriteTransactions: 2, QueueWait: time.Second, Load: load, Position: position,
		}},
		currantloom.ShutdownNotice{},
		currantloom.BlockWrites{Service: "s", Duration: time.Second, BlockCommits: true, Successor: "u"},
		currantloom.BlockWrites{
			Service: "s", Duration: time.Second, BlockCommits: true, CommitTimeout: time.Millisecond, Number: 1<<32 | 7,
		},
		currantloom.CommitsBlocked{Service: "s", Number: 1<<32 | 7, Acked: position},
		currantloom.PrimaryChanged{Service: "s", Upstream: "u", Term: 4, Log: position},
		currantloom.StoreItemsRequest{},
		currantloom.StoreItems{
			Items: []currantloom.StoreItem{{
				Key: "k", Value: []byte("v"), Position: currantloom.NewStorePosition(2, 8), Deleted: true,
			}},
			Delta: true,
			Base:  currantloom.NewStorePosition(2, 7), Position: currantloom.NewStorePosition(2, 8),
			Request: 1 << 60, Age: time.Second,
		},
		currantloom.StoreProofRequest{Number: 1 << 60, Position: currantloom.NewStorePosition(2, 8), Copy: true},
		currantloom.TokenRequest{
			Incarnation: 1 << 31, Shard: 12, Shards: 13,
			Sent: time.Hour, Fresh: true, Full: true, Epoch: 3, Answer: 2 * time.Second,
			Elapsed: 5 * time.Millisecond,
			Demands: []currantloom.TokenDemand{{
				Organisation: "linz", Waiting: 5, Urgent: 1, Wanted: 7, Returned: 6, Outstanding: 300, Share: 1_000_000,
				HandedOver: time.Second, Pooled: true, Reserve: true, Rate: 4_000,
			}},
		},
		currantloom.TokenAnswer{
			Shard: 12, Shards: 13, Epoch: 3, Time: time.Minute, Asked: time.Hour, Review: true, Grants: []currantloom.TokenGrant{
				{Organisation: "linz", Tokens: 4, Refused: 2, RetryAfter: 90 * time.Millisecond, Share: 123_456},
			},
		},
	}
}

// TestEncodeDecode guards against fields that encode and decode drop or swap.
func TestEncodeDecode(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := readMessage(bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Errorf("decoded\n%+v\nwant\n%+v", got, m)
		}
	}
}

// TestPongOfEarlierVersion guards against a node that cannot read the pong of a node without Drains, and against pongs
// that grow while nothing drains.
func TestPongOfEarlierVersion(t *testing.T) {
	earlier := []byte{byte(kindPong), 7, 0xc3, 0xc2, 9, 0x90, 0x90, 0x90}
	want := currantloom.Pong{Number: 7, ShuttingDown: true, ConfigurationVersion: 9}
	got, err := decode(earlier)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v, want %+v", got, err, want)
	}
	data, err := encode(want)
	if err != nil || !bytes.Equal(data[lengthPrefixSize:], earlier) {
		t.Errorf("encoded %x, %v, want %x", data[lengthPrefixSize:], err, earlier)
	}
}

// TestLoadSize guards against reports of the load that cost more than a few bytes: they are part of each result.
func TestLoadSize(t *testing.T) {
	size := func(l currantloom.UpstreamLoad) int {
		data, err := encode(currantloom.CallResult{Load: l})
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	l := currantloom.UpstreamLoad{Jobs: 9, FailurePercent: 40, LostPercent: 2}
	l.RunTimes[currantloom.WorkWrite] = 22 * time.Millisecond
	if got := size(l) - size(currantloom.UpstreamLoad{}) + 4; got > 8 {
		t.Errorf("the load of a result takes %d bytes, want 8 at most", got)
	} else {
		t.Logf("the load of a result takes %d bytes", got)
	}
}

// FuzzDecode guards against bytes from a peer that make the decoder panic or allocate without bound, and against
// decoded messages that cannot be encoded.
func FuzzDecode(f *testing.F) {
	for _, m := range append(sampleMessages(), configurationMessage(50)) {
		data, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data[lengthPrefixSize:])
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
