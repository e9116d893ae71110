package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
	"currantloom.example/currantloom/loomstore"
)

// openStore returns a client of the platform's store.
func openStore(o *options) (*loomstore.RulesStore, error) {
	if o.storeAddress == "" {
		return nil, currantloom.ErrInput.New("the address of the platform is missing; give it with --platform IP:port")
	}
	return loomstore.NewRulesStore(o.storeAddress), nil
}

func runShow(ctx context.Context, o *options) error {
	store, err := openStore(o)
	if err != nil {
		return err
	}
	document, _, err := readRulesDocument(ctx, store, o)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "revision %d\n", document.Revision())
	fmt.Print(document.Text())
	return nil
}

func readRulesDocument(
	ctx context.Context, store currantloom.RulesStore, o *options,
) (currantloom.RulesDocument, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return store.Rules(ctx, 0)
}

func runDiff(ctx context.Context, o *options) error {
	paths := o.paths()
	if len(paths) == 0 {
		return currantloom.ErrInput.New("rules diff needs a file; see currantloom rules diff --help")
	}
	_, after, err := readRules(paths[len(paths)-1], nil)
	if err != nil {
		return err
	}
	var before *loomrules.Rules
	if len(paths) > 1 {
		_, before, err = readRules(paths[0], nil)
	} else {
		before, err = readStoredRules(ctx, o)
	}
	if err != nil {
		return err
	}
	printDiff(os.Stdout, before, after)
	return nil
}

func readStoredRules(ctx context.Context, o *options) (*loomrules.Rules, error) {
	store, err := openStore(o)
	if err != nil {
		return nil, err
	}
	document, _, err := readRulesDocument(ctx, store, o)
	if err != nil {
		return nil, err
	}
	return loomrules.ParseFile("stored rules", document.Text(), nil)
}

func printDiff(out io.Writer, before, after *loomrules.Rules) {
	changes := loomrules.Diff(before, after)
	for _, c := range changes {
		_, _ = fmt.Fprintln(out, c)
	}
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(out, "no difference")
	}
}

func runApply(ctx context.Context, o *options) error {
	if len(o.paths()) != 1 {
		return currantloom.ErrInput.New("rules apply needs one file; see currantloom rules apply --help")
	}
	names, err := readKnownNames(o.settingsPath)
	if err != nil {
		return err
	}
	text, rules, err := readRules(o.paths()[0], names)
	if err != nil {
		return err
	}
	store, err := openStore(o)
	if err != nil {
		return err
	}
	a := newRulesApplier(store, loomstore.NewVMList(o.storeAddress), o, os.Stdout)
	defer a.close()
	return a.run(ctx, text, rules)
}
