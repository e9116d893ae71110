package loommesh

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// BenchmarkCall measures the encoding and decoding of a call and its result: time, allocations, and bytes on the link.
func BenchmarkCall(b *testing.B) {
	position := currantloom.NewLogPosition(3, 1207)
	key := currantloom.RequestKey{VM: "frontend-ost-linz-1", Number: 123456}
	messages := []currantloom.Message{
		currantloom.Call{
			Key: key, Service: "lepu270", Upstream: "i-7f3a91c2aa", Mode: currantloom.CallDirect,
			Command: currantloom.Command{Kind: currantloom.CommandStatement, ID: "5c0e7a21d94b36f8", Text: "READ 1a4"},
			MaxAge:  2500 * time.Millisecond, Timeout: 800 * time.Millisecond, QueueTimeout: 3 * time.Second,
			LatencyBudget: time.Second,
			Priority:      2, IdleTransactionTimeout: 3 * time.Second, MinPosition: position,
		},
		currantloom.CallResult{
			Key: key, Verdict: currantloom.Ran, RequiredPosition: position, RequiredAge: time.Second,
			Reply: currantloom.Reply{
				Rows: []string{"qhzkwmtrbelo"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", TransactionStatus: 'I',
				Position: position,
			},
			Sample: currantloom.PositionSample{
				Service: "lepu270", Upstream: "i-7f3a91c2aa", Position: position, Age: time.Second,
			},
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
			if _, err := decode(data[lengthPrefixSize:]); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size), "link-B/op")
}
