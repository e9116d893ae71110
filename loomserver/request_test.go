package loomserver

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomstandin"
)

const incrementSQL = "UPDATE counters SET n = n + 1 WHERE id = 'a'"

// TestRequestID guards against a request that runs twice, or whose client does not learn its outcome, when the
// connection is lost directly before or after the commit and the request is retried through another pool or after a
// promotion.
func TestRequestID(t *testing.T) {
	faults := map[string]loomstandin.CommitFault{
		"no fault": loomstandin.NoFault, "before commit": loomstandin.DropBeforeCommit,
		"after commit": loomstandin.DropAfterCommit,
	}
	requests := map[string]struct {
		request currantloom.PostgresRequest
		want    string
	}{
		"simple":   {simpleQuery(incrementSQL), "UPDATE 1"},
		"multiple": {simpleQuery("INSERT INTO counters VALUES ('b', 1); " + incrementSQL), "INSERT 0 1 UPDATE 1"},
		"extended": {extendedQuery(t, "UPDATE counters SET n = n + 1 WHERE id = $1", "a"), "1 2 UPDATE 1"},
	}
	for faultName, fault := range faults {
		for requestName, test := range requests {
			for _, withPromotion := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/promotion=%t", faultName, requestName, withPromotion), func(t *testing.T) {
					t.Parallel()
					servers := startGroup(t, loomstandin.Options{})
					first := newPool(t, servers[0].Address())
					wantResponse(t, first, simpleQuery("INSERT INTO counters (id, n) VALUES ('a', 0)"), "INSERT 0 1")
					servers[0].FailNextCommit(fault)
					r, _ := runOnPool(t, first, withRequestID(test.request, "id-1"))
					if fault != loomstandin.NoFault {
						wantFailure(t, r, currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown)
					}
					retry := newPool(t, servers[0].Address())
					if withPromotion {
						awaitReplicas(t, first, servers[1:]...)
						_ = servers[0].Close()
						retry = promote(t, 2, servers[1:]...)
					}
					for range 2 {
						r := wantResponse(t, retry, withRequestID(test.request, "id-1"), test.want)
						if !r.Wrote || r.ConfirmedCopies < 2 {
							t.Errorf("outcome reported with %d confirming servers, wrote %t", r.ConfirmedCopies, r.Wrote)
						}
					}
					wantResponse(t, retry, readQuery("SELECT n FROM counters WHERE id = 'a'"), "T [1] SELECT 1")
				})
			}
		}
	}
}

// awaitReplicas waits until the replicas hold all log entries of the primary, so that a promotion keeps them.
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

// TestRequestIDRules guards against a reused id that suppresses a different statement, a transaction that commits
// twice, an id of one organisation that answers the request of another, and a body that ends the transaction in which
// its id is recorded.
func TestRequestIDRules(t *testing.T) {
	p := newPool(t, startGroup(t, loomstandin.Options{})[0].Address())
	insert := simpleQuery("INSERT INTO orders VALUES ('a', 'x')")
	wantResponse(t, p, withRequestID(insert, "id-1"), "INSERT 0 1")
	r, _ := runOnPool(t, p, withRequestID(simpleQuery("INSERT INTO orders VALUES ('b', 'x')"), "id-1"))
	wantFailure(t, r, currantloom.NotRun, currantloom.SQLStateInvalidParameter)
	other := withRequestID(insert, "id-1")
	other.Organisation = "linz"
	wantResponse(t, p, other, "23505")
	wantResponse(t, p, withRequestID(simpleQuery("SELECT missing FROM orders"), "id-2"), "42703")
	wantResponse(t, p, withRequestID(simpleQuery("INSERT INTO orders VALUES ('c', 'x')"), "id-2"), "INSERT 0 1")
	for _, sql := range []string{"INSERT INTO orders VALUES ('d', 'x'); COMMIT", "/* ; */ rollback; SELECT 1"} {
		r, _ = runOnPool(t, p, withRequestID(simpleQuery(sql), "id-3"))
		wantFailure(t, r, currantloom.NotRun, currantloom.SQLStateUnsupported)
	}

	for _, end := range []string{"ROLLBACK", "COMMIT"} {
		c := acquire(t, p)
		if r, got := runOnConn(t, c, withRequestID(simpleQuery("BEGIN"), "id-4")); got != "BEGIN" || r.Err != nil {
			t.Errorf("got %q, %v, want BEGIN", got, r.Err)
		}
		runOnConn(t, c, simpleQuery("INSERT INTO orders VALUES ('e', 'x')"))
		runOnConn(t, c, simpleQuery(end))
		c.Release()
	}
	r = wantResponse(t, p, withRequestID(simpleQuery("BEGIN"), "id-4"), "23505")
	if r.TransactionStatus != currantloom.TransactionIdle || r.ConfirmedCopies < 2 {
		t.Errorf("refused transaction has status %c and %d confirming servers", r.TransactionStatus, r.ConfirmedCopies)
	}
	wantResponse(t, p, readQuery("SELECT id FROM orders"), "T [a] [c] [e] SELECT 3")
}

// TestRequestIDUnconfirmed guards against a recorded outcome that is reported although no majority holds it, so that a
// promotion may lose it.
func TestRequestIDUnconfirmed(t *testing.T) {
	servers := startGroup(t, loomstandin.Options{})
	p := newPool(t, servers[0].Address())
	_, _ = servers[1].Close(), servers[2].Close()
	requireMajority := func(r currantloom.PostgresResult) error {
		if r.ConfirmedCopies < 2 {
			return currantloom.NewRequestError(currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown, 0, "no majority")
		}
		return nil
	}
	request := withRequestID(simpleQuery("INSERT INTO orders VALUES ('a', 'x')"), "id-1")
	request.Accept = requireMajority
	for range 2 {
		r, got := runOnPool(t, p, request)
		wantFailure(t, r, currantloom.MayHaveRun, currantloom.SQLStateOutcomeUnknown)
		if got != "" || !r.Wrote {
			t.Errorf("got response %q, wrote %t, want none and true", got, r.Wrote)
		}
	}
}

// TestPurgeRequests guards against old request ids that are not deleted, and recent ones that are.
func TestPurgeRequests(t *testing.T) {
	p := newPool(t, startGroup(t, loomstandin.Options{})[0].Address())
	for i := range purgeBatch + 5 {
		wantResponse(t, p, simpleQuery(fmt.Sprintf(
			"INSERT INTO currantloom_requests VALUES ('steyr', 'it''s %d', '', '', %d)", i, 1000+i)), "INSERT 0 1")
	}
	wantResponse(t, p, withRequestID(simpleQuery("INSERT INTO orders VALUES ('a', 'x')"), "recent"), "INSERT 0 1")
	if n, err := p.PurgeRequestIDs(t.Context(), time.Hour); n != purgeBatch+5 || err != nil {
		t.Errorf("removed %d ids, %v, want %d", n, err, purgeBatch+5)
	}
	wantResponse(t, p, readQuery("SELECT request_id FROM currantloom_requests"), "T [recent] SELECT 1")
}
