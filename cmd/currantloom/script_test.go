package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
	"currantloom.example/currantloom/loomstandin"
	"currantloom.example/currantloom/loomstore"
)

// seededTestMain sets the seed and the length of the rapid tests, unless the command line sets them, and removes the
// binaries that tests have built.
type seededTestMain struct{ *testing.M }

func (m seededTestMain) Run() int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.steps": "12"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	defer func() { _ = os.RemoveAll(builtBinaries.dir) }()
	return m.M.Run()
}

func TestMain(m *testing.M) {
	testscript.Main(seededTestMain{m}, map[string]func(){"currantloom": main})
}

// TestScripts guards against command lines whose behaviour differs from their help texts and the documentation.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(e *testscript.Env) error {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		platform := loomstandin.StartPlatform(listener, 0)
		e.Defer(func() { _ = platform.Close() })
		e.Vars = append(e.Vars, "PLATFORM="+platform.Address())
		return nil
	}})
}

func startPlatformAndStore(t *testing.T) (*loomstandin.Platform, *loomstore.RulesStore) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	platform := loomstandin.StartPlatform(listener, 0)
	store := loomstore.NewRulesStore(platform.Address())
	t.Cleanup(func() {
		_ = store.Close()
		_ = platform.Close()
	})
	return platform, store
}

func applyText(ctx context.Context, t *testing.T, store currantloom.RulesStore, address, text string) (string, error) {
	t.Helper()
	rules, err := loomrules.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	list := loomstore.NewVMList(address)
	defer func() { _ = list.Close() }()
	a := newRulesApplier(store, list, &options{timeout: 3 * time.Second}, &out)
	defer a.close()
	err = a.run(ctx, text, rules)
	return out.String(), err
}

// TestApplyLostReply guards against a change that is reported as failed, or stored twice, when the store's reply is
// lost.
func TestApplyLostReply(t *testing.T) {
	platform, store := startPlatformAndStore(t)
	platform.SetDropNextResponse(true)
	time.AfterFunc(700*time.Millisecond, func() { platform.SetDropNextResponse(false) })
	out, err := applyText(t.Context(), t, store, platform.Address(), "leave a # x\n")
	if err != nil || !strings.Contains(out, "accepted revision 1") {
		t.Errorf("got %q, %v", out, err)
	}
	if d, _, err := store.Rules(t.Context(), 0); err != nil || d.Revision() != 1 {
		t.Errorf("the store holds revision %d, %v", d.Revision(), err)
	}
}

// conflictingStore stores another operator's change just before the first write.
type conflictingStore struct {
	*loomstore.RulesStore
	conflicted bool
}

func (s *conflictingStore) ReplaceRules(ctx context.Context, index uint64, d currantloom.RulesDocument) error {
	if !s.conflicted {
		s.conflicted = true
		other := currantloom.NewRulesDocument(d.Revision(), "other", "leave b # other\n")
		if err := s.RulesStore.ReplaceRules(ctx, index, other); err != nil {
			return err
		}
	}
	return s.RulesStore.ReplaceRules(ctx, index, d)
}

// TestApplyConflict guards against a change that overwrites another operator's concurrent change.
func TestApplyConflict(t *testing.T) {
	platform, store := startPlatformAndStore(t)
	out, err := applyText(t.Context(), t, &conflictingStore{RulesStore: store}, platform.Address(), "leave a # x\n")
	if err == nil || !strings.Contains(out, "+ leave b  # other") {
		t.Errorf("got %q, %v, want a conflict that shows the other change", out, err)
	}
	if d, _, _ := store.Rules(t.Context(), 0); d.ChangeID() != "other" {
		t.Errorf("the store holds the change %q", d.ChangeID())
	}
}

// TestApplyAfterRestore guards against storing a revision that the nodes ignore: after a restore of the store from a
// backup, the nodes have a later revision in effect.
func TestApplyAfterRestore(t *testing.T) {
	d := &demo{}
	defer func() { _ = d.close() }()
	if err := d.start(true); err != nil {
		t.Fatal(err)
	}
	address := d.platform.Address()
	store := loomstore.NewRulesStore(address)
	for i := range 2 {
		if out, err := applyText(t.Context(), t, store, address, fmt.Sprintf("leave a%d # x\n", i)); err != nil {
			t.Fatal(out, err)
		}
	}
	d.platform.Restore("currantloom/rules")
	out, err := applyText(t.Context(), t, store, address, "leave c # x\n")
	if err == nil || !strings.Contains(err.Error(), "--after-restore") {
		t.Errorf("got %q, %v, want a refusal", out, err)
	}
	rules, _ := loomrules.Parse("leave c # x\n")
	list := loomstore.NewVMList(address)
	a := newRulesApplier(store, list, &options{timeout: 5 * time.Second, afterRestore: true}, io.Discard)
	defer a.close()
	if err := a.run(t.Context(), "leave c # x\n", rules); err != nil {
		t.Errorf("after the restore: %v", err)
	}
	if got, _, _ := store.Rules(t.Context(), 0); got.Revision() != 3 {
		t.Errorf("the store holds revision %d, want 3", got.Revision())
	}
}
