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
	// retryInterval is the time between two attempts to write to the store, and between two rounds of queries to the
	// VMs.
	retryInterval = 250 * time.Millisecond
	// queryTimeout limits the query to one VM.
	queryTimeout         = time.Second
	maxConcurrentQueries = 32
)

// rulesApplier writes rules to the store and waits until they are in effect on all VMs.
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
	previous, err := loomrules.ParseFile("stored rules", stored.Text(), nil)
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
		return a.awaitInEffect(ctx, vms, stored.Revision())
	}
	printDiff(a.out, previous, rules)
	document := currantloom.NewRulesDocument(revision, rand.Text(), text)
	if err := a.storeRules(ctx, index, document, previous); err != nil {
		return err
	}
	a.printf("accepted revision %d", revision)
	return a.awaitInEffect(ctx, vms, revision)
}

// nextRevision returns the revision to store: one more than the stored revision. If the store was restored from a
// backup, nodes may have a later revision in effect and would ignore that one. This is an error unless the operator
// passes --after-restore; then the revision is one more than the latest in effect.
func (a *rulesApplier) nextRevision(
	stored currantloom.RulesDocument, revisions map[currantloom.VMName]currantloom.RulesRevision,
) (currantloom.RulesRevision, error) {
	next := stored.Revision() + 1
	for vm, inEffect := range revisions {
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

// storeRules writes the document if the stored rules still have the index. If the reply is lost, the change id of the
// stored rules shows whether the document was written.
func (a *rulesApplier) storeRules(
	ctx context.Context, index uint64, document currantloom.RulesDocument, previous *loomrules.Rules,
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
		current, newIndex, readErr := a.store.Rules(ctx, 0)
		switch {
		case readErr == nil && current.ChangeID() == document.ChangeID():
			a.printf("the reply was lost, the change was stored")
			return nil
		case readErr == nil && newIndex != index:
			return a.reportConflict(current, document, previous)
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

// reportConflict prints what another operator changed since the rules were read, and returns the error.
func (a *rulesApplier) reportConflict(current, document currantloom.RulesDocument, previous *loomrules.Rules) error {
	if currentRules, err := loomrules.ParseFile("stored rules", current.Text(), nil); err == nil {
		a.printf("meanwhile changed in the store:")
		printDiff(a.out, previous, currentRules)
	}
	if current.Revision() > document.Revision() {
		return currantloom.ErrConflict.New("the store now holds revision %d; whether this change was stored as revision %d "+
			"before that is unknown", current.Revision(), document.Revision())
	}
	return currantloom.ErrConflict.New("another change was stored as revision %d; nothing was changed, "+
		"merge the rules and apply again", current.Revision())
}

// vmsWithControlAddress returns the VMs of the VM list that have a control address.
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

// queryRevisions returns the rules revisions in effect on the VMs that answer.
func (a *rulesApplier) queryRevisions(
	ctx context.Context, vms []currantloom.VM,
) map[currantloom.VMName]currantloom.RulesRevision {
	revisions := make(map[currantloom.VMName]currantloom.RulesRevision)
	var mu sync.Mutex
	var running sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for _, vm := range vms {
		semaphore <- struct{}{}
		running.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			revision, _, err := a.controlClient.PullRules(ctx, vm.ControlAddress(), "", math.MaxUint64)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			revisions[vm.Name()] = revision
		})
	}
	running.Wait()
	return revisions
}

// awaitInEffect returns once the revision is in effect on all VMs. After the timeout it returns an error that names the
// other VMs.
func (a *rulesApplier) awaitInEffect(
	ctx context.Context, vms []currantloom.VM, revision currantloom.RulesRevision,
) error {
	deadline := time.Now().Add(a.options.timeout)
	for {
		revisions := a.queryRevisions(ctx, vms)
		missing := describeMissingVMs(vms, revisions, revision)
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

// describeMissingVMs returns the VMs on which the revision is not known to be in effect, with the reason.
func describeMissingVMs(
	vms []currantloom.VM, revisions map[currantloom.VMName]currantloom.RulesRevision, revision currantloom.RulesRevision,
) []string {
	var missing []string
	for _, vm := range vms {
		switch inEffect, ok := revisions[vm.Name()]; {
		case !ok:
			missing = append(missing, fmt.Sprintf("%s (no answer)", vm.Name()))
		case inEffect < revision:
			missing = append(missing, fmt.Sprintf("%s (revision %d)", vm.Name(), inEffect))
		}
	}
	return missing
}
