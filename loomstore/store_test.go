package loomstore

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomstandin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// start returns a simulated platform, and a rules store and a VM list with short wait times.
func start(t *testing.T) (*loomstandin.Platform, *RulesStore, *VMList) {
	t.Helper()
	platform := loomstandin.StartPlatform(listen(t), 0)
	rules, vms := NewRulesStore(platform.Address()), NewVMList(platform.Address())
	rules.waitTime, vms.waitTime = 300*time.Millisecond, 300*time.Millisecond
	t.Cleanup(func() {
		_ = rules.Close()
		_ = vms.Close()
		_ = platform.Close()
	})
	return platform, rules, vms
}

func document(revision int, text string) currantloom.RulesDocument {
	return currantloom.NewRulesDocument(currantloom.RulesRevision(revision), fmt.Sprintf("change-%d", revision), text)
}

func mustReplace(t *testing.T, s *RulesStore, index uint64, d currantloom.RulesDocument) {
	t.Helper()
	if err := s.ReplaceRules(t.Context(), index, d); err != nil {
		t.Fatal(err)
	}
}

func wantRules(t *testing.T, s *RulesStore, after uint64, want currantloom.RulesDocument) uint64 {
	t.Helper()
	got, index, err := s.Rules(t.Context(), after)
	if err != nil || got != want {
		t.Fatalf("got %+v, %v, want %+v", got, err, want)
	}
	return index
}

func wantType(t *testing.T, err error, want *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, want) {
		t.Errorf("got error %v, want one of type %s", err, want)
	}
}

// TestRulesChanges guards against a change that overwrites another operator's change, a watch that misses a change, a
// lost reply that is reported as a known outcome, and an index that does not decrease when the store is restored from a
// backup.
func TestRulesChanges(t *testing.T) {
	platform, s, _ := start(t)
	if index := wantRules(t, s, 0, currantloom.RulesDocument{}); index != 0 {
		t.Errorf("got index %d without rules, want 0", index)
	}
	mustReplace(t, s, 0, document(1, "leave a # x\n"))
	first := wantRules(t, s, 0, document(1, "leave a # x\n"))
	wantType(t, s.ReplaceRules(t.Context(), 0, document(1, "other")), currantloom.ErrConflict)

	changed := make(chan currantloom.RulesDocument, 1)
	go func() {
		d, _, _ := s.Rules(t.Context(), first)
		changed <- d
	}()
	time.Sleep(50 * time.Millisecond)
	mustReplace(t, s, first, document(2, "second"))
	if got := <-changed; got != document(2, "second") {
		t.Errorf("watch returned %+v", got)
	}
	wantType(t, s.ReplaceRules(t.Context(), first, document(2, "late")), currantloom.ErrConflict)

	second := wantRules(t, s, first, document(2, "second"))
	start := time.Now()
	wantRules(t, s, second, document(2, "second"))
	if elapsed := time.Since(start); elapsed < s.waitTime || elapsed > s.waitTime+responseTimeout {
		t.Errorf("unchanged read took %v, want about %v", elapsed, s.waitTime)
	}
	platform.SetDropNextResponse(true)
	wantType(t, s.ReplaceRules(t.Context(), second, document(3, "third")), currantloom.ErrUnavailable)
	third := wantRules(t, s, second, document(3, "third"))
	platform.Restore(rulesKey)
	if index := wantRules(t, s, 0, document(2, "second")); index >= third {
		t.Errorf("got index %d after a restore, want less than %d", index, third)
	}
}

// TestRulesAbsent guards against a watch that polls without pause while no rules are stored.
func TestRulesAbsent(t *testing.T) {
	_, s, _ := start(t)
	wantRules(t, s, 0, currantloom.RulesDocument{})
	start := time.Now()
	wantRules(t, s, 0, currantloom.RulesDocument{})
	if elapsed := time.Since(start); elapsed < s.waitTime {
		t.Errorf("second read took %v, want at least %v", elapsed, s.waitTime)
	}
}

// TestRulesLimits guards against storing a value that exceeds the platform's size limit, and against a response size
// limit that is too small for the largest value.
func TestRulesLimits(t *testing.T) {
	_, s, _ := start(t)
	wantType(t, s.ReplaceRules(t.Context(), 0, document(1, strings.Repeat("x", maxValueSize))), currantloom.ErrInput)
	large := document(1, strings.Repeat("x", maxValueSize-100))
	mustReplace(t, s, 0, large)
	wantRules(t, s, 0, large)
}

// TestOutage guards against calls that hang, or that report a known outcome, while the platform is down, responds
// slowly, never responds or refuses connections.
func TestOutage(t *testing.T) {
	calls := map[string]func(context.Context, *RulesStore, *VMList) error{
		"read": func(ctx context.Context, s *RulesStore, _ *VMList) error { _, _, err := s.Rules(ctx, 5); return err },
		"change": func(ctx context.Context, s *RulesStore, _ *VMList) error {
			return s.ReplaceRules(ctx, 0, document(1, "x"))
		},
		"list": func(ctx context.Context, _ *RulesStore, l *VMList) error { _, err := l.VMs(ctx, 0); return err },
	}
	outages := map[string]func(*testing.T) (*RulesStore, *VMList){
		"down": func(t *testing.T) (*RulesStore, *VMList) {
			p, s, l := start(t)
			p.SetDown(true)
			return s, l
		},
		"slow": func(t *testing.T) (*RulesStore, *VMList) {
			p, s, l := start(t)
			p.SetResponseDelay(time.Minute)
			return s, l
		},
		"silent": func(t *testing.T) (*RulesStore, *VMList) {
			address := listen(t).Addr().String()
			return NewRulesStore(address), NewVMList(address)
		},
		"refused": func(t *testing.T) (*RulesStore, *VMList) {
			l := listen(t)
			_ = l.Close()
			return NewRulesStore(l.Addr().String()), NewVMList(l.Addr().String())
		},
	}
	for outage, setUp := range outages {
		for name, call := range calls {
			t.Run(outage+"/"+name, func(t *testing.T) {
				t.Parallel()
				s, l := setUp(t)
				s.waitTime, l.waitTime = 100*time.Millisecond, 100*time.Millisecond
				start := time.Now()
				wantType(t, call(t.Context(), s, l), currantloom.ErrUnavailable)
				if elapsed := time.Since(start); elapsed > changeTimeout+time.Second {
					t.Errorf("call took %v", elapsed)
				}
				_, _ = s.Close(), l.Close()
			})
		}
	}
}

// TestVMList guards against missed changes of VMs or of their leaving state, and against a malformed entry that hides
// others.
func TestVMList(t *testing.T) {
	platform, _, l := start(t)
	platform.RegisterVM("vm-2", "127.0.0.1:7001", "127.0.0.1:7002", "ost", "ost-linz")
	platform.RegisterVM("vm-1", "127.0.0.1:7003", "127.0.0.1:7004", "west", "west-ibk")
	platform.Register(loomstandin.ServiceNodes, "broken", "127.0.0.1", map[string]string{"links-port": "none"})
	vm1 := currantloom.NewVM("vm-1", currantloom.NewLocation("west", "west-ibk"), "127.0.0.1:7003", "127.0.0.1:7004",
		currantloom.VMLive)
	vm2 := currantloom.NewVM("vm-2", currantloom.NewLocation("ost", "ost-linz"), "127.0.0.1:7001", "127.0.0.1:7002",
		currantloom.VMLive)
	index := wantVMs(t, l, 0, "[]", vm1, vm2)

	// Each change ends the watch, whichever service it concerns.
	afterDelay(t, func() { platform.MarkLeaving(loomstandin.ServiceUpstreams, "wheel-core-1-a") })
	index = wantVMs(t, l, index, "[wheel-core-1-a]", vm1, vm2)
	afterDelay(t, func() { platform.MarkLeaving(loomstandin.ServiceNodes, "vm-2") })
	leavingVM := currantloom.NewVM(
		vm2.Name(), vm2.Location(), vm2.LinkAddress(), vm2.ControlAddress(), currantloom.VMLeaving)
	index = wantVMs(t, l, index, "[wheel-core-1-a]", vm1, leavingVM)
	unchanged := wantVMs(t, l, index, "[wheel-core-1-a]", vm1, leavingVM)
	if unchanged != index {
		t.Errorf("got index %d for an unchanged list, want %d", unchanged, index)
	}
	platform.SetCatalogDelay(150 * time.Millisecond)
	platform.Deregister(loomstandin.ServiceNodes, "vm-2")
	wantVMs(t, l, 0, "[wheel-core-1-a]", vm1, leavingVM)
	wantVMs(t, l, index, "[wheel-core-1-a]", vm1)
}

func afterDelay(t *testing.T, change func()) {
	t.Helper()
	timer := time.AfterFunc(50*time.Millisecond, change)
	t.Cleanup(func() { timer.Stop() })
}

func wantVMs(t *testing.T, l *VMList, after uint64, leavingUpstreams string, want ...currantloom.VM) uint64 {
	t.Helper()
	set, err := l.VMs(t.Context(), after)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(set.VMs) != fmt.Sprint(want) || fmt.Sprint(set.LeavingUpstreams) != leavingUpstreams {
		t.Errorf("got %v leaving %v, want %v leaving %s", set.VMs, set.LeavingUpstreams, want, leavingUpstreams)
	}
	return set.Index
}
