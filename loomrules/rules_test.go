package loomrules

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestFaults guards against faults that pass unnoticed or stand at the wrong place. Each script holds a rules file; a
// line "want LINE:COLUMN TEXT" after the line "---" is an expected fault.
func TestFaults(t *testing.T) {
	paths, err := filepath.Glob("testdata/faults/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text, wants, _ := strings.Cut(string(data), "---\n")
	text = strings.NewReplacer("<CR>", "\r", "<BOM>", "\ufeff", "<BAD>", "\xff").Replace(text)
	_, err = ParseFile("f", text, catalogue())
	var got []string
	if err != nil {
		got = strings.Split(err.Error(), "\n")
	}
	var want []string
	for l := range strings.Lines(wants) {
		want = append(want, "f:"+strings.TrimPrefix(strings.TrimSpace(l), "want "))
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got faults\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func catalogue() *KnownNames {
	server := currantloom.NewPostgresUpstream("core-1-a", "core-1", "127.0.0.1:1", currantloom.Location{})
	return &KnownNames{
		Databases: []currantloom.Database{
			currantloom.NewDatabase("core-1", 2, 16, []currantloom.PostgresUpstream{server}),
			currantloom.NewDatabase("core-2", 2, 16, nil),
		},
		Organisations: []currantloom.OrganisationName{"steyr", "linz"},
	}
}

// TestTooLarge guards against a file that the store would refuse.
func TestTooLarge(t *testing.T) {
	if _, err := Parse(strings.Repeat("#\n", MaxSize/2+1)); err == nil {
		t.Error("a file above 1 MB was accepted")
	}
}

const sample = `# rules of the test
read * max-age 5s                               # platform
read core-* max-age 4s                          # platform
read core-1 max-age 3s                          # steyr, release 12
read core-1 caller ste* max-age 2s              # steyr
read core-1 caller steyr max-age 1s             # steyr
require-request-id core-* "insert into orders"  # linz
class core-1 long "call batch_release"          # steyr
class * short "call batch_release_one"          # steyr
class core-1 short "call batch_release_one"     # steyr
share * caller steyr weight 2 max-connections 8 # steyr
deadline core-1 caller steyr long 20m           # steyr
keep-request-ids core-1 36h                     # linz
leave core-2-b                                  # platform
primary core-1 core-1-a                         # platform
`

// TestQueries guards against a rule that wins over a more specific one.
func TestQueries(t *testing.T) {
	r, err := Parse(sample)
	if err != nil {
		t.Fatal(err)
	}
	check(t, "age, any", r.MaxAge("other", "steyr"), 5*time.Second)
	check(t, "age, pattern", r.MaxAge("core-9", "steyr"), 4*time.Second)
	check(t, "age, database", r.MaxAge("core-1", "linz"), 3*time.Second)
	check(t, "age, caller pattern", r.MaxAge("core-1", "ste2"), 2*time.Second)
	check(t, "age, caller", r.MaxAge("core-1", "steyr"), time.Second)
	check(t, "request id", r.RequiresRequestID("core-3", " INSERT\n\tINTO Orders VALUES (1)"), true)
	check(t, "no request id", r.RequiresRequestID("core-3", "insert into order"), false)
	class, found := r.Class("core-1", "CALL batch_release(7)")
	check(t, "class", class, currantloom.LongRequest)
	check(t, "class found", found, true)
	class, _ = r.Class("core-1", "call batch_release_one(7)")
	check(t, "class, longer prefix", class, currantloom.ShortRequest)
	_, found = r.Class("core-1", "select 1")
	check(t, "class not found", found, false)
	check(t, "weight", r.Weight("x", "steyr"), 2)
	check(t, "default weight", r.Weight("x", "linz"), DefaultWeight)
	check(t, "connections", r.MaxConnections("x", "steyr"), 8)
	check(t, "long deadline", r.Deadline("core-1", "steyr", currantloom.LongRequest), 20*time.Minute)
	check(t, "short deadline", r.Deadline("core-1", "steyr", currantloom.ShortRequest), DefaultShortDeadline)
	check(t, "request ids", r.RequestIDRetention("core-1"), 36*time.Hour)
	check(t, "default request ids", r.RequestIDRetention("core-2"), DefaultRequestIDRetention)
	check(t, "leaving", r.IsLeaving("core-2-b"), true)
	check(t, "primary", r.DesiredPrimary("core-1"), currantloom.UpstreamName("core-1-a"))
	var zero Rules
	check(t, "zero value", zero.Deadline("a", "b", currantloom.LongRequest), DefaultLongDeadline)
}

func check[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// TestQueriesDoNotAllocate guards against allocations on the path of each statement.
func TestQueriesDoNotAllocate(t *testing.T) {
	r, err := Parse(sample)
	if err != nil {
		t.Fatal(err)
	}
	n := testing.AllocsPerRun(100, func() {
		r.Class("core-1", "CALL batch_release(7)")
		r.MaxAge("core-1", "steyr")
		r.Weight("core-1", "steyr")
		r.Deadline("core-1", "linz", currantloom.ShortRequest)
		r.RequiresRequestID("core-1", "select 1")
	})
	check(t, "allocations", n, 0)
}

// TestDiff guards against a change that an operator is not shown.
func TestDiff(t *testing.T) {
	before, _ := Parse("leave a # x\nread * max-age 5s # x\nleave c # x\n")
	after, _ := Parse("read  *  max-age 6s # x\nleave b # x\nleave c # x")
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, c.String())
	}
	want := "~ read * max-age 5s  # x\n  -> read * max-age 6s  # x\n- leave a  # x\n+ leave b  # x"
	check(t, "diff", strings.Join(got, "\n"), want)
}

// FuzzParse guards against a panic on any text, and against a canonical text that means something else.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	paths, _ := filepath.Glob("testdata/faults/*.txt")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		canonical := r.Canonical()
		again, err := Parse(canonical)
		if err != nil {
			t.Fatalf("canonical text %q: %v", canonical, err)
		}
		if changes := Diff(r, again); len(changes) > 0 || again.Canonical() != canonical {
			t.Fatalf("canonical text %q changes the rules: %v", canonical, changes)
		}
	})
}
