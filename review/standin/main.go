// Command standin runs the scripts of the review. It plays the platform's store, the service that promotes upstreams,
// three upstreams of one service, and clients, all on loopback addresses, and starts nodes of this repository as
// separate processes. It writes what was sent, answered and run to a record and reports whether a rule was broken.
//
// The upstreams, the store and the clients follow PROTOCOL.md: a line ends with CR LF, and its last field extends to
// the end of the line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxRunTime bounds a script. One that takes longer, or that is told to stop, ends its nodes and has not run.
const maxRunTime = 116 * time.Second

// errNotRun says that the case could not run, so nothing is known about the rule.
var errNotRun = errors.New("the case could not run")

// scenario runs a case and returns the violations of the rule.
type scenario func(w *world) ([]string, error)

var scenarios = map[string]scenario{
	"lostcommit": runLostCommit,
	"twocrashes": runTwoCrashes,
	"lostanswer": runLostAnswer,
	"handover":   runHandover,
	"linefeed":   runLineFeed,
	"blank":      runTrailingBlank,
	"shape":      runShape,
	"memory":     runMemory,
	"redefined":  runRedefinition,
	"replaced":   runReplacedPrimary,
	"hostile":    runHostileSessions,

	"silentwrites": runSilentWrites,
	"silentreads":  runSilentReads,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitNotRun
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	w, err := newWorld(ctx, r, os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("cannot start: %v", err)
		return exitNotRun
	}
	defer w.close()
	defer context.AfterFunc(ctx, func() {
		w.killNodes()
		_ = os.RemoveAll(w.dir)
		r.add("result: %v", errNotRun)
		r.close()
		os.Exit(exitNotRun)
	})()
	violations, err := run(w)
	return conclude(r, violations, err)
}

// conclude records the result and returns the exit code.
func conclude(r *record, violations []string, err error) int {
	switch {
	case err != nil:
		r.add("result: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(violations) > 0:
		for _, v := range violations {
			r.add("broken: %s", v)
		}
		r.add("result: the rule was broken %d times", len(violations))
		fmt.Printf("broken: %d times, first: %s\n", len(violations), violations[0])
		return exitBroken
	default:
		r.add("result: the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
