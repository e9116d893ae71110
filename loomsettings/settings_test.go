package loomsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestFaults guards against settings that are accepted by mistake or reported at the wrong place. In each script the
// lines "want LINE:COLUMN TEXT" after the line "---" are the expected faults of the file above.
func TestFaults(t *testing.T) {
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
			text, wants, _ := strings.Cut(string(data), "---\n")
			_, err = Parse("f", []byte(text))
			var got string
			if err != nil {
				got = err.Error() + "\n"
			}
			var want string
			for l := range strings.Lines(wants) {
				want += "f:" + strings.TrimPrefix(l, "want ")
			}
			if got != want {
				t.Errorf("got faults\n%swant\n%s", got, want)
			}
		})
	}
}

// TestDefaults guards against a default that differs from the one the page names.
func TestDefaults(t *testing.T) {
	data, err := os.ReadFile("testdata/good.txt")
	if err != nil {
		t.Fatal(err)
	}
	text, _, _ := strings.Cut(string(data), "---\n")
	s, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(s.ShutdownDelay(), s.PlatformTimeout(), s.UpstreamUser(), s.LogLevel(), s.ControlAddress())
	if want := fmt.Sprint(2*time.Second, 5*time.Second, "currantloom", "info", ""); got != want {
		t.Errorf("got defaults %s, want %s", got, want)
	}
	if d := s.Core().Databases[0]; d.Slots() != 2 || len(d.Upstreams()) != 3 ||
		s.OrganisationPasswords()["steyr"] != "secret" {
		t.Errorf("got database %v, passwords %v", d, s.OrganisationPasswords())
	}
}

// TestPageListsKeys guards against a page that drifts from the table of keys.
func TestPageListsKeys(t *testing.T) {
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

// FuzzParse guards against a panic on any text, and against settings that are returned together with a fault.
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
		if s, err := Parse("f", data); (s == nil) == (err == nil) {
			t.Fatalf("got settings %v with error %v", s, err)
		}
	})
}
