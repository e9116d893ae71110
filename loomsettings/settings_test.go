package loomsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestFileErrors guards against invalid settings that are accepted, or reported at the wrong position. In each script
// the lines "want LINE:COLUMN TEXT" after the line "---" are the expected errors in the file above it.
func TestFileErrors(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			text, expected, _ := strings.Cut(string(data), "---\n")
			_, err = Parse("f", []byte(text))
			var got string
			if err != nil {
				got = err.Error() + "\n"
			}
			var want string
			for line := range strings.Lines(expected) {
				want += "f:" + strings.TrimPrefix(line, "want ")
			}
			if got != want {
				t.Errorf("got errors\n%swant\n%s", got, want)
			}
		})
	}
}

// TestDefaults guards against a default that differs from the documented one.
func TestDefaults(t *testing.T) {
	data, err := os.ReadFile("testdata/good.txt")
	if err != nil {
		t.Fatal(err)
	}
	text, _, _ := strings.Cut(string(data), "---\n")
	settings, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(settings.ShutdownDelay(), settings.PlatformTimeout(), settings.UpstreamUser(), settings.LogLevel(),
		settings.ControlAddress())
	if want := fmt.Sprint(2*time.Second, 5*time.Second, "currantloom", "info", ""); got != want {
		t.Errorf("got defaults %s, want %s", got, want)
	}
	if database := settings.ReducerConfig().Databases[0]; database.Slots() != 2 || len(database.Upstreams()) != 3 ||
		settings.OrganisationPasswords()["steyr"] != "secret" {
		t.Errorf("got database %v, passwords %v", database, settings.OrganisationPasswords())
	}
}

// TestDocumentationListsKeys guards against a table in docs/settings.md that differs from the table of keys.
func TestDocumentationListsKeys(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	for _, k := range Keys() {
		fmt.Fprintf(&want, "| `%s` | %s | %s | %s | %s |\n", k.Path, k.Unit(), k.DefaultText(), k.Range(), k.Description)
	}
	_, got, _ := strings.Cut(string(page), "|---|---|---|---|---|\n")
	got, _, _ = strings.Cut(got, "\n\n")
	if strings.TrimSpace(got) != strings.TrimSpace(want.String()) {
		t.Errorf("docs/settings.md must hold this table:\n%s", want.String())
	}
}

// FuzzParse guards against a panic on any text, and against settings that are returned together with an error, or
// neither of them.
func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob("testdata/*.txt")
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if settings, err := Parse("f", data); (settings == nil) == (err == nil) {
			t.Fatalf("got settings %v with error %v", settings, err)
		}
	})
}
