package loomstandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// confirmedWrites collects the ids of the rows whose commit at least two servers confirmed.
type confirmedWrites struct {
	mu  sync.Mutex
	ids []string
}

// write inserts rows at a server until the context ends or an insert fails.
func (w *confirmedWrites) write(ctx context.Context, s *Server, prefix string) {
	conn, err := pgconn.Connect(ctx, "postgres://test@"+s.Address()+"/test?sslmode=disable")
	if err != nil {
		return
	}
	defer func() {
		closing, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = conn.Close(closing)
		<-conn.CleanupDone()
	}()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", prefix, i)
		if _, err := conn.Exec(ctx, "INSERT INTO t VALUES ('"+id+"', '')").ReadAll(); err != nil {
			return
		}
		if position := conn.ParameterStatus("group_position"); !strings.HasSuffix(position, "/1") {
			w.mu.Lock()
			w.ids = append(w.ids, id)
			w.mu.Unlock()
		}
	}
}

// TestPromotionsUnderLoad guards against the loss of confirmed entries and against logs that stay different, when in
// each of several terms a random server is paused while the others promote a primary.
func TestPromotionsUnderLoad(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 1))
			servers := startGroup(t, Options{})
			var writes confirmedWrites
			var writers sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			defer writers.Wait()
			defer cancel()
			primary := servers[0]
			for term := 2; term < 8; term++ {
				writers.Go(func() { writes.write(ctx, primary, fmt.Sprint(term)) })
				time.Sleep(time.Duration(20+random.IntN(80)) * time.Millisecond)
				paused := random.IntN(len(servers))
				servers[paused].Pause()
				granting := append(append([]*Server(nil), servers[:paused]...), servers[paused+1:]...)
				primary = promote(t, term, granting...)
				servers[paused].Resume()
				runSQL(t, dial(t, servers[paused]), fmt.Sprintf("SELECT group_follow(%d, '%s')", term, primary.Address()))
			}
			cancel()
			writers.Wait()
			stored := make(map[string]bool)
			for _, id := range runSQL(t, dial(t, primary), "SELECT id FROM t") {
				stored[id] = true
			}
			for _, id := range writes.ids {
				if !stored[id] {
					t.Errorf("confirmed row %s is lost", id)
				}
			}
			if len(writes.ids) < 50 {
				t.Errorf("only %d rows were confirmed, too few for the test", len(writes.ids))
			}
			for _, s := range servers {
				waitUntil(t, "agreement of the logs", func() bool {
					want := runSQL(t, dial(t, primary), "SELECT id FROM t")
					return fmt.Sprint(runSQL(t, dial(t, s), "SELECT id FROM t")) == fmt.Sprint(want)
				})
			}
		})
	}
}
