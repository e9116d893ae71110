package loomserver

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomstandin"
)

const increment = "UPDATE counters SET n = n + 1 WHERE id = 'a'"

// TestRequestID guards against a request that runs twice, or whose caller does not learn its outcome, when the
// connection is lost around the commit and the request is retried through another pool or after a promotion.
func TestRequestID(t *testing.T) {
	faults := map[string]loomstandin.CommitFault{
		"no fault": loomstandin.NoFault, "before commit": loomstandin.DropBeforeCommit,
		"after commit": loomstandin.DropAfterCommit,
	}
	works := map[string]struct {
		work currantloom.PostgresRequest
		want string
	}{
		"simple":   {simple(increment), "UPDATE 1"},
		"multiple": {simple("INSERT INTO counters VALUES ('b', 1); " + increment), "INSERT 0 1 UPDATE 1"},
		"extended": {extended(t, "UPDATE counters SET n = n + 1 WHERE id = $1", "a"), "1 2 UPDATE 1"},
	}
	for faultName, fault := range faults {
		for workName, w := range works {
			for _, promotes := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/promotion=%t", faultName, workName, promotes), func(t *testing.T) {
					t.Parallel()
					servers := startGroup(t, loomstandin.Options{})
					first := newPool(t, servers[0].Address())
					wantResponse(t, first, simple("INSERT INTO counters (id, n) VALUES ('a', 0)"), "INSERT 0 1")
					servers[0].FailNextCommit(fault)
					r, _ := runOnce(t, first, withID(w.work, "id-1"))
					if fault != loomstandin.NoFault {
						wantFailure(t, r, currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown)
					}
					retry := newPool(t, servers[0].Address())
					if promotes {
						awaitReplicas(t, first, servers[1:]...)
						_ = servers[0].Close()
						retry = promote(t, 2, servers[1:]...)
					}
					for range 2 {
						r := wantResponse(t, retry, withID(w.work, "id-1"), w.want)
						if !r.Wrote || r.ConfirmedCopies < 2 {
							t.Errorf("outcome reported with %d confirming servers, wrote %t", r.ConfirmedCopies, r.Wrote)
						}
					}
					wantResponse(t, retry, read("SELECT n FROM counters WHERE id = 'a'"), "T [1] SELECT 1")
				})
			}
		}
	}
}

// awaitReplicas waits until the replicas hold what the primary holds, so that a promotion keeps it.
func awaitReplicas(t *testing.T, primary *Pool, replicas ...*loomstandin.Server) {
	t.Helper()
	want, err := primary.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range replicas {
		p := newPool(t, s.Address())
		for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			got, err := p.Status(t.Context())
			if err == nil && got.Position.Covers(want.Position) {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("replica at %v, want %v, error %v", got.Position, want.Position, err)
			}
		}
	}
}

// TestRequestIDRules guards against an id that hides another statement, a transaction that commits twice, an id of one
// caller that answers another, and a body that ends the transaction its id is recorded in.
func TestRequestIDRules(t *testing.T) {
	p := newPool(t, startGroup(t, loomstandin.Options{})[0].Address())
	insert := simple("INSERT INTO orders VALUES ('a', 'x')")
	wantResponse(t, p, withID(insert, "id-1"), "INSERT 0 1")
	r, _ := runOnce(t, p, withID(simple("INSERT INTO orders VALUES ('b', 'x')"), "id-1"))
	wantFailure(t, r, currantloom.NotRun, currantloom.SQLStateInvalidParameter)
	other := withID(insert, "id-1")
	other.Organisation = "linz"
	wantResponse(t, p, other, "23505")
	wantResponse(t, p, withID(simple("SELECT missing FROM orders"), "id-2"), "42703")
	wantResponse(t, p, withID(simple("INSERT INTO orders VALUES ('c', 'x')"), "id-2"), "INSERT 0 1")
	for _, sql := range []string{"INSERT INTO orders VALUES ('d', 'x'); COMMIT", "/* ; */ rollback; SELECT 1"} {
		r, _ = runOnce(t, p, withID(simple(sql), "id-3"))
		wantFailure(t, r, currantloom.NotRun, currantloom.SQLStateUnsupported)
	}

	for _, end := range []string{"ROLLBACK", "COMMIT"} {
		c := acquire(t, p)
		if r, got := runOn(t, c, withID(simple("BEGIN"), "id-4")); got != "BEGIN" || r.Err != nil {
			t.Errorf("got %q, %v, want BEGIN", got, r.Err)
		}
		runOn(t, c, simple("INSERT INTO orders VALUES ('e', 'x')"))
		runOn(t, c, simple(end))
		c.Release()
	}
	r = wantResponse(t, p, withID(simple("BEGIN"), "id-4"), "23505")
	if r.TransactionStatus != currantloom.TransactionIdle || r.ConfirmedCopies < 2 {
		t.Errorf("refused transaction has status %c and %d confirming servers", r.TransactionStatus, r.ConfirmedCopies)
	}
	wantResponse(t, p, read("SELECT id FROM orders"), "T [a] [c] [e] SELECT 3")
}

// TestRequestIDUnconfirmed guards against an outcome that is reported although a promotion may drop it.
func TestRequestIDUnconfirmed(t *testing.T) {
	servers := startGroup(t, loomstandin.Options{})
	p := newPool(t, servers[0].Address())
	_, _ = servers[1].Close(), servers[2].Close()
	refuse := func(r currantloom.PostgresResult) error {
		if r.ConfirmedCopies < 2 {
			return currantloom.NewRequestError(currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, 0, "no majority")
		}
		return nil
	}
	w := withID(simple("INSERT INTO orders VALUES ('a', 'x')"), "id-1")
	w.Accept = refuse
	for range 2 {
		r, got := runOnce(t, p, w)
		wantFailure(t, r, currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown)
		if got != "" || !r.Wrote {
			t.Errorf("got response %q, wrote %t, want none and true", got, r.Wrote)
		}
	}
}

// TestPurgeRequests guards against old ids that stay and recent ids that are removed.
func TestPurgeRequests(t *testing.T) {
	p := newPool(t, startGroup(t, loomstandin.Options{})[0].Address())
	for i := range purgeBatch + 5 {
		wantResponse(t, p, simple(fmt.Sprintf(
			"INSERT INTO currantloom_requests VALUES ('steyr', 'it''s %d', '', '', %d)", i, 1000+i)), "INSERT 0 1")
	}
	wantResponse(t, p, withID(simple("INSERT INTO orders VALUES ('a', 'x')"), "recent"), "INSERT 0 1")
	if n, err := p.PurgeRequests(t.Context(), time.Hour); n != purgeBatch+5 || err != nil {
		t.Errorf("removed %d ids, %v, want %d", n, err, purgeBatch+5)
	}
	wantResponse(t, p, read("SELECT request_id FROM currantloom_requests"), "T [recent] SELECT 1")
}
