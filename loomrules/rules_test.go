package loomrules

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestFileErrors guards against errors in a rules file that are not reported, or are reported at the wrong position.
// Each script holds a rules file. A line "want LINE:COLUMN TEXT" after the line "---" is an expected error.
func TestFileErrors(t *testing.T) {
	paths, err := filepath.Glob("testdata/faults/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { runErrorScript(t, path) })
	}
}

func runErrorScript(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text, expected, _ := strings.Cut(string(data), "---\n")
	text = strings.NewReplacer("<CR>", "\r", "<BOM>", "\ufeff", "<BAD>", "\xff").Replace(text)
	_, err = ParseFile("f", text, testNames())
	var got []string
	if err != nil {
		got = strings.Split(err.Error(), "\n")
	}
	var want []string
	for line := range strings.Lines(expected) {
		want = append(want, "f:"+strings.TrimPrefix(strings.TrimSpace(line), "want "))
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got errors\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func testNames() *KnownNames {
	upstream := currantloom.NewPostgresUpstream("core-1-a", "core-1", "127.0.0.1:1", currantloom.Location{})
	return &KnownNames{
		Databases: []currantloom.Database{
			currantloom.NewDatabase("core-1", 2, 16, []currantloom.PostgresUpstream{upstream}),
			currantloom.NewDatabase("core-2", 2, 16, nil),
		},
		Organisations: []currantloom.OrganisationName{"steyr", "linz"},
	}
}

// TestFileSizeLimit guards against accepting a file that is too large for the store.
func TestFileSizeLimit(t *testing.T) {
	if _, err := Parse(strings.Repeat("#\n", MaxSize/2+1)); err == nil {
		t.Error("a file above 1 MB was accepted")
	}
}

const sampleRules = `# rules of the test
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

// TestMostSpecificRuleApplies guards against a lookup that returns a less specific rule, or no default where no rule
// applies.
func TestMostSpecificRuleApplies(t *testing.T) {
	rules, err := Parse(sampleRules)
	if err != nil {
		t.Fatal(err)
	}
	check(t, "age, any", rules.MaxAge("other", "steyr"), 5*time.Second)
	check(t, "age, pattern", rules.MaxAge("core-9", "steyr"), 4*time.Second)
	check(t, "age, database", rules.MaxAge("core-1", "linz"), 3*time.Second)
	check(t, "age, caller pattern", rules.MaxAge("core-1", "ste2"), 2*time.Second)
	check(t, "age, caller", rules.MaxAge("core-1", "steyr"), time.Second)
	check(t, "request id", rules.RequiresRequestID("core-3", " INSERT\n\tINTO Orders VALUES (1)"), true)
	check(t, "no request id", rules.RequiresRequestID("core-3", "insert into order"), false)
	class, found := rules.Class("core-1", "CALL batch_release(7)")
	check(t, "class", class, currantloom.LongRequest)
	check(t, "class found", found, true)
	class, _ = rules.Class("core-1", "call batch_release_one(7)")
	check(t, "class, longer prefix", class, currantloom.ShortRequest)
	_, found = rules.Class("core-1", "select 1")
	check(t, "class not found", found, false)
	check(t, "weight", rules.Weight("x", "steyr"), 2)
	check(t, "default weight", rules.Weight("x", "linz"), DefaultWeight)
	check(t, "connections", rules.MaxConnections("x", "steyr"), 8)
	check(t, "long deadline", rules.Deadline("core-1", "steyr", currantloom.LongRequest), 20*time.Minute)
	check(t, "short deadline", rules.Deadline("core-1", "steyr", currantloom.ShortRequest), DefaultShortDeadline)
	check(t, "request ids", rules.RequestIDRetention("core-1"), 36*time.Hour)
	check(t, "default request ids", rules.RequestIDRetention("core-2"), DefaultRequestIDRetention)
	check(t, "leaving", rules.IsLeaving("core-2-b"), true)
	check(t, "primary", rules.DesiredPrimary("core-1"), currantloom.UpstreamName("core-1-a"))
	var zero Rules
	check(t, "zero value", zero.Deadline("a", "b", currantloom.LongRequest), DefaultLongDeadline)
}

func check[T comparable](t *testing.T, description string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", description, got, want)
	}
}

// TestLookupsDoNotAllocate guards against allocations in the lookups that are made for each statement.
func TestLookupsDoNotAllocate(t *testing.T) {
	rules, err := Parse(sampleRules)
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(100, func() {
		rules.Class("core-1", "CALL batch_release(7)")
		rules.MaxAge("core-1", "steyr")
		rules.Weight("core-1", "steyr")
		rules.Deadline("core-1", "linz", currantloom.ShortRequest)
		rules.RequiresRequestID("core-1", "select 1")
	})
	check(t, "allocations", allocations, 0)
}

// TestDiff guards against a change of the rules that is missing in the diff shown to the operator.
func TestDiff(t *testing.T) {
	before, _ := Parse("leave a # x\nread * max-age 5s # x\nleave c # x\n")
	after, _ := Parse("read  *  max-age 6s # x\nleave b # x\nleave c # x")
	var got []string
	for _, change := range Diff(before, after) {
		got = append(got, change.String())
	}
	want := "~ read * max-age 5s  # x\n  -> read * max-age 6s  # x\n- leave a  # x\n+ leave b  # x"
	check(t, "diff", strings.Join(got, "\n"), want)
}

// FuzzParse guards against a panic on any text, and against a canonical text that parses to other rules.
func FuzzParse(f *testing.F) {
	f.Add(sampleRules)
	paths, _ := filepath.Glob("testdata/faults/*.txt")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		rules, err := Parse(text)
		if err != nil {
			return
		}
		canonical := rules.Canonical()
		reparsed, err := Parse(canonical)
		if err != nil {
			t.Fatalf("canonical text %q: %v", canonical, err)
		}
		if changes := Diff(rules, reparsed); len(changes) > 0 || reparsed.Canonical() != canonical {
			t.Fatalf("canonical text %q changes the rules: %v", canonical, changes)
		}
	})
}
