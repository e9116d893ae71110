package loomentry

import "testing"

// TestClassify guards against writes that are classified as reads and so run on replicas, reads that are classified as
// writes and so load the primary, and accepted statements that leave state in an upstream connection.
func TestClassify(t *testing.T) {
	for _, c := range []struct{ query, want string }{
		{"select 1", "read"},
		{"  /* a /* nested */ comment */ -- line\nselect 1", "read"},
		{"((select 1) union (select 2))", "read"},
		{"values (1)", "read"},
		{"table orders", "read"},
		{"show server_version", "read"},
		{"with x as (select 1) select * from x", "read"},
		{"with x as (insert into t values (1) returning *) select * from x", "write"},
		{"select * from t for update", "write"},
		{"select * from t for no key update", "write"},
		{"select * from t for share", "write"},
		{"select 'for update; insert' from t", "read"},
		{"select $tag$ for update; $tag$, \"for update\"", "read"},
		{"select E'\\'; delete from t'", "read"},
		{"select * into t2 from t", "write"},
		{"select nextval('s')", "write"},
		{"explain delete from t", "read"},
		{"explain analyze select 1", "read"},
		{"explain (analyze, buffers) delete from t", "write"},
		{"select 1; delete from t", "write"},
		{"begin read only", "read"},
		{"start transaction isolation level serializable, read only", "read"},
		{"begin", "write"},
		{"vacuum", "write"},
		{"copy t from stdin", "refused"},
		{"listen x", "refused"},
		{"unlisten *", "refused"},
		{"notify x", "refused"},
		{"declare c cursor with hold for select 1", "refused"},
		{"declare c cursor for select 1", "refused"},
		{"create temp table t (a int)", "refused"},
		{"create local temporary table t (a int)", "refused"},
		{"create table temp (a int)", "write"},
		{"select * into temp t from u", "refused"},
		{"select pg_advisory_lock(1)", "refused"},
		{"select pg_catalog.pg_try_advisory_xact_lock(1)", "refused"},
		{"select set_config('a', 'b', false)", "refused"},
		{"prepare p as select 1", "refused"},
		{"execute p", "refused"},
		{"deallocate p", "refused"},
		{"deallocate all", "local"},
		{"discard all", "local"},
		{"prepare transaction 'x'", "refused"},
		{"commit prepared 'x'", "refused"},
		{"set session authorization x", "refused"},
		{"set role x", "refused"},
		{"set local work_mem = 1", "refused"},
		{"set transaction read only", "refused"},
		{"set application_name = 'x'", "local"},
		{"set session timezone to 'UTC'", "local"},
		{"set time zone 'UTC'", "local"},
		{"reset all", "local"},
		{"select 1; set application_name = 'x'", "refused"},
	} {
		t.Run(c.query, func(t *testing.T) {
			p := &pipeline{session: &Session{status: 'I'}}
			p.isSimpleQuery = true
			p.addExecution(&preparedStatement{query: c.query, classes: classifyQuery(c.query)})
			p.validate()
			got := p.kind().String()
			switch {
			case p.err != nil:
				got = "refused"
			case !p.hasRemote:
				got = "local"
			}
			if got != c.want {
				t.Errorf("got %s (%v), want %s", got, p.err, c.want)
			}
		})
	}
}
