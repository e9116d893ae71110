package loommesh

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// BenchmarkCall measures a statement and its answer on a link: time and allocations to write and read both, and bytes.
func BenchmarkCall(b *testing.B) {
	mark := currantloom.NewLogPosition(3, 1207)
	key := currantloom.RequestKey{VM: "frontend-ost-linz-1", Number: 123456}
	messages := []currantloom.Message{
		currantloom.Call{
			Key: key, Service: "lepu270", Upstream: "i-7f3a91c2aa", Mode: currantloom.CallDirect,
			Command: currantloom.Command{Kind: currantloom.CommandStatement, ID: "5c0e7a21d94b36f8", Text: "READ 1a4"},
			MaxAge:  2500 * time.Millisecond, Timeout: 800 * time.Millisecond, QueueTimeout: 3 * time.Second,
			LatencyBudget: time.Second,
			Priority:      2, IdleTransactionTimeout: 3 * time.Second, MinPosition: mark,
		},
		currantloom.CallResult{
			Key: key, Verdict: currantloom.Ran, RequiredPosition: mark, RequiredAge: time.Second,
			Reply: currantloom.Reply{
				Rows: []string{"qhzkwmtrbelo"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", TransactionStatus: 'I', Position: mark,
			},
			Sample: currantloom.PositionSample{Service: "lepu270", Upstream: "i-7f3a91c2aa", Position: mark, Age: time.Second},
		},
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		size = 0
		for _, m := range messages {
			data, err := encode(m)
			if err != nil {
				b.Fatal(err)
			}
			size += len(data)
			if _, err := decode(data[lengthSize:]); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size), "link-B/op")
}
