package main

import (
	"fmt"
	"time"
)

const (
	// refusedAttempts is the number of times that a client repeats a statement whose shape contains a blank.
	refusedAttempts = 20
	// refusedPause is the pause between two attempts.
	refusedPause = 500 * time.Millisecond
)

// runRedefinition prepares a shape whose text reads like the definition of another one. Rules PINNED and UNASKED.
func runRedefinition(w *world) ([]string, error) {
	shape := "qdkyjha"
	if w.trouble {
		shape = "q4 READ qdkyjha"
	}
	first := []step{{id: "a1", text: "PREPARE s1 READ q4"}, {id: "a2", text: "EXECUTE s1 1c2"}}
	second := []step{{id: "b1", text: "PREPARE s7 READ " + shape}, {id: "b2", text: "EXECUTE s7 1c4"}}
	third := []step{{id: "c1", text: "PREPARE s1 READ q4"}, {id: "c2", text: "EXECUTE s1 1c2"}}
	for _, s := range [][]step{first, second, third} {
		if err := w.runSteps(s); err != nil {
			return nil, err
		}
	}
	violations := w.otherShapes(map[string]string{"a2": "q4", "b2": shape, "c2": "q4"})
	return append(violations, w.unasked(append(append(first, second...), third...))...), nil
}

// runReplacedPrimary lets one client repeat a write whose shape contains a blank, while nothing is wrong with any
// upstream, and counts the changes of primary.
func runReplacedPrimary(w *world) ([]string, error) {
	shape := "q2c"
	if w.trouble {
		shape = "q 2c"
	}
	var violations []string
	d := w.database
	d.mu.Lock()
	d.onPromotion = func(u *upstream) {
		violations = append(violations, fmt.Sprintf("%s became primary although nothing was wrong", u.id))
	}
	d.mu.Unlock()
	for i := range refusedAttempts {
		steps := []step{
			{id: fmt.Sprintf("a%d", i), text: "PREPARE s2 WRITE " + shape},
			{id: fmt.Sprintf("b%d", i), text: fmt.Sprintf("EXECUTE s2 12 data%d", i)},
		}
		if err := w.runSession(steps); err != nil {
			return nil, err
		}
		time.Sleep(refusedPause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return violations, nil
}
