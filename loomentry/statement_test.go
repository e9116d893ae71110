package loomentry

import (
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestStatementTexts guards against statements that no rule is applied to because other statements, empty statements or
// comments precede them in the query or pipeline.
func TestStatementTexts(t *testing.T) {
	_, gateway, address := startServer(t)
	conn := connect(t, address, "steyr", nil)
	tests := map[string]string{
		"select 1":                                    "select 1",
		"begin; insert 'a;b' ; commit":                "begin|insert 'a;b' |commit",
		"; /* ; */ insert 1;;":                        "insert 1",
		"select 1;" + strings.Repeat("x", 300):        "select 1|" + strings.Repeat("x", 256),
		"select $$;$$; -- ;\n  insert 2 -- the end\n": "select $$;$$|insert 2 -- the end\n",
	}
	for query, want := range tests {
		_, _ = conn.PgConn().Exec(t.Context(), query).ReadAll()
		r := gateway.received()[len(gateway.received())-1]
		if got := strings.Join(append([]string{r.Statement}, r.OtherStatements...), "|"); got != want {
			t.Errorf("%s: got statements %q, want %q", query, got, want)
		}
	}
	batch := &pgx.Batch{}
	for _, query := range []string{"select 1", "insert 1", "insert 2"} {
		batch.Queue(query)
	}
	_ = conn.SendBatch(t.Context(), batch).Close()
	r := gateway.received()[len(gateway.received())-1]
	if !slices.Equal(append([]string{r.Statement}, r.OtherStatements...), []string{"select 1", "insert 1", "insert 2"}) {
		t.Errorf("got statements %q and %q of a pipeline", r.Statement, r.OtherStatements)
	}
}

// TestRequestIDInTransaction guards against a statement that requires a request id by a rule and runs in a transaction
// that has none.
func TestRequestIDInTransaction(t *testing.T) {
	_, gateway, address := startServer(t)
	for name, id := range map[string]string{"without": "", "with": "set currantloom.request_id = 'x'"} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, address, "steyr", nil)
			var err error
			for _, query := range []string{id, "begin", "insert 1"} {
				if err = execute(t, conn, query); err != nil && query != "" {
					t.Fatal(err)
				}
			}
			released := gateway.releaseCount()
			err = execute(t, conn, "select 1; insert order 1")
			if id != "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			wantError(t, err, "22023", "verdict=not_run")
			if gateway.releaseCount() != released+1 {
				t.Error("the transaction was not aborted")
			}
			wantError(t, execute(t, conn, "select 1"), "25P02", "")
		})
	}
}
