package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loompeer"
	"currantloom.example/currantloom/loomrules"
)

const (
	// retryInterval separates calls to a store that does not answer, and rounds of questions to the VMs.
	retryInterval = 250 * time.Millisecond
	// queryTimeout bounds a question to one VM, askAtOnce the questions at a time.
	queryTimeout         = time.Second
	maxConcurrentQueries = 32
)

// rulesApplier stores rules and waits until they are in force.
type rulesApplier struct {
	store         currantloom.RulesStore
	vmList        currantloom.VMList
	options       *options
	out           io.Writer
	controlClient loompeer.ControlClient
}

func newRulesApplier(store currantloom.RulesStore, list currantloom.VMList, o *options, out io.Writer) *rulesApplier {
	return &rulesApplier{store: store, vmList: list, options: o, out: out}
}

func (a *rulesApplier) close() { _ = a.controlClient.Close() }

func (a *rulesApplier) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format+"\n", args...)
}

func (a *rulesApplier) run(ctx context.Context, text string, rules *loomrules.Rules) error {
	stored, index, err := readRulesDocument(ctx, a.store, a.options)
	if err != nil {
		return err
	}
	before, err := loomrules.ParseFile("stored rules", stored.Text(), nil)
	if err != nil {
		return err
	}
	vms, err := a.vmsWithControlAddress(ctx)
	if err != nil {
		return err
	}
	revision, err := a.nextRevision(stored, a.queryRevisions(ctx, vms))
	if err != nil {
		return err
	}
	if stored.Text() == text && revision == stored.Revision()+1 && stored.Revision() > 0 {
		a.printf("no change, revision %d is stored", stored.Revision())
		return a.awaitInForce(ctx, vms, stored.Revision())
	}
	printDiff(a.out, before, rules)
	document := currantloom.NewRulesDocument(revision, rand.Text(), text)
	if err := a.storeRules(ctx, index, document, before); err != nil {
		return err
	}
	a.printf("accepted revision %d", revision)
	return a.awaitInForce(ctx, vms, revision)
}

// nextRevision returns the revision to store. A store that was restored from a backup holds an older revision than
// the nodes, which would ignore the next one.
func (a *rulesApplier) nextRevision(
	stored currantloom.RulesDocument, answers map[currantloom.VMName]currantloom.RulesRevision,
) (currantloom.RulesRevision, error) {
	next := stored.Revision() + 1
	for vm, inEffect := range answers {
		if inEffect < next {
			continue
		}
		if !a.options.afterRestore {
			return 0, currantloom.ErrConflict.New("the store holds revision %d, but %s has revision %d in effect; "+
				"if the store was restored, compare with the rules in effect and repeat with --after-restore",
				stored.Revision(), vm, inEffect)
		}
		next = inEffect + 1
	}
	return next, nil
}

// storeRules writes the document if the store still has the index. A lost reply is settled by reading the change id.
func (a *rulesApplier) storeRules(
	ctx context.Context, index uint64, document currantloom.RulesDocument, before *loomrules.Rules,
) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.timeout)
	defer cancel()
	for {
		err := a.store.ReplaceRules(ctx, index, document)
		if err == nil {
			return nil
		}
		conflict := errorx.IsOfType(err, currantloom.ErrConflict)
		if !conflict && !errorx.IsOfType(err, currantloom.ErrUnavailable) {
			return err
		}
		now, newIndex, readErr := a.store.Rules(ctx, 0)
		switch {
		case readErr == nil && now.ChangeID() == document.ChangeID():
			a.printf("the reply was lost, the change was stored")
			return nil
		case readErr == nil && newIndex != index:
			return a.reportConflict(now, document, before)
		}
		if ctx.Err() != nil {
			return currantloom.ErrUnavailable.New("the store does not answer; whether change %s was stored is unknown, "+
				"check with: currantloom rules show", document.ChangeID())
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// reportConflict reports what another operator changed since the rules were read.
func (a *rulesApplier) reportConflict(now, document currantloom.RulesDocument, before *loomrules.Rules) error {
	if after, err := loomrules.ParseFile("stored rules", now.Text(), nil); err == nil {
		a.printf("meanwhile changed in the store:")
		printDiff(a.out, before, after)
	}
	if now.Revision() > document.Revision() {
		return currantloom.ErrConflict.New("the store now holds revision %d; whether this change was stored as revision %d "+
			"before that is unknown", now.Revision(), document.Revision())
	}
	return currantloom.ErrConflict.New("another change was stored as revision %d; nothing was changed, "+
		"merge the rules and apply again", now.Revision())
}

// vmsWithControlAddress returns the VMs that have a control address.
func (a *rulesApplier) vmsWithControlAddress(ctx context.Context) ([]currantloom.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, a.options.timeout)
	defer cancel()
	set, err := a.vmList.VMs(ctx, 0)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Clone(set.VMs), func(vm currantloom.VM) bool {
		return vm.ControlAddress() == ""
	}), nil
}

// queryRevisions returns the revisions in effect on the VMs that answer.
func (a *rulesApplier) queryRevisions(ctx context.Context, vms []currantloom.VM) map[currantloom.VMName]currantloom.RulesRevision {
	answers := make(map[currantloom.VMName]currantloom.RulesRevision)
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, vm := range vms {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			revision, _, err := a.controlClient.PullRules(ctx, vm.ControlAddress(), "", math.MaxUint64)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[vm.Name()] = revision
		})
	}
	wait.Wait()
	return answers
}

// awaitInForce returns once the revision is in force on all VMs, or names the others after the timeout.
func (a *rulesApplier) awaitInForce(ctx context.Context, vms []currantloom.VM, revision currantloom.RulesRevision) error {
	deadline := time.Now().Add(a.options.timeout)
	for {
		answers := a.queryRevisions(ctx, vms)
		missing := describeMissingVMs(vms, answers, revision)
		if len(missing) == 0 {
			a.printf("in force on %d of %d VMs", len(vms), len(vms))
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			a.printf("in force on %d of %d VMs", len(vms)-len(missing), len(vms))
			return currantloom.ErrUnavailable.New("revision %d is stored, but not yet in force on %s; "+
				"it takes effect there once the VM is reached", revision, strings.Join(missing, ", "))
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func describeMissingVMs(
	vms []currantloom.VM, answers map[currantloom.VMName]currantloom.RulesRevision, revision currantloom.RulesRevision,
) []string {
	var missing []string
	for _, vm := range vms {
		switch inEffect, ok := answers[vm.Name()]; {
		case !ok:
			missing = append(missing, fmt.Sprintf("%s (no answer)", vm.Name()))
		case inEffect < revision:
			missing = append(missing, fmt.Sprintf("%s (revision %d)", vm.Name(), inEffect))
		}
	}
	return missing
}
