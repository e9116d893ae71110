package loommesh

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestTokenMessageSize guards against messages for limits that make the control traffic of large fleets exceed its
// bound of 3 KB a second: a node there sends and receives about 13 of each in a second.
func TestTokenMessageSize(t *testing.T) {
	request := currantloom.TokenRequest{
		Incarnation: 1 << 30, Shard: 12, Shards: 13, Sent: 3 * time.Hour, Full: true, Epoch: 1 << 31, Answer: 3 * time.Hour,
		Elapsed: 900 * time.Millisecond,
	}
	answer := currantloom.TokenAnswer{
		Shard: 12, Shards: 13, Epoch: 1 << 31, Time: 3 * time.Hour, Asked: 3 * time.Hour,
	}
	sizes := make(map[string]int)
	for n := range 2 {
		for name, m := range map[string]currantloom.Message{"request": request, "answer": answer} {
			data, err := encode(m)
			if err != nil {
				t.Fatal(err)
			}
			sizes[fmt.Sprint(name, n)] = len(data)
		}
		request.Demands = append(request.Demands, currantloom.TokenDemand{
			Organisation: "org-25", Waiting: 1, Share: 12_000, HandedOver: 10 * time.Second, Pooled: true, Rate: 1_200,
		})
		answer.Grants = append(answer.Grants, currantloom.TokenGrant{Organisation: "org-25", Tokens: 1, Share: 12_000})
	}
	t.Log(sizes)
	for name, most := range map[string]int{"request0": 42, "request1": 66, "answer0": 34, "answer1": 48} {
		if sizes[name] > most {
			t.Errorf("%s has %d bytes, want at most %d", name, sizes[name], most)
		}
	}
}
