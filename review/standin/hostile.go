package main

import (
	"fmt"
	"maps"
	"time"
)

const (
	// hostileRounds is the number of times that each pair of sessions is played, hostilePause the pause after each.
	hostileRounds = 4
	hostilePause  = 200 * time.Millisecond
)

// oddTexts are shapes and values that read like something else.
var oddTexts = []string{
	"q4 READ qdkyjha", "q4 WRITE w7", " q4", "q4 ", "q  4", "q\t4", "q\x004", "q\r4", "q\n4", "PREPARE s1 READ q9", "p1",
}

// runHostileSessions plays sessions with odd shapes and values beside ordinary ones that use the same names. Rules
// PINNED and UNASKED; besides, no primary may be replaced because of what a client sends.
func runHostileSessions(w *world) ([]string, error) {
	var violations []string
	w.database.mu.Lock()
	w.database.onPromotion = func(u *upstream) {
		violations = append(violations, fmt.Sprintf("%s became primary although nothing was wrong", u.id))
	}
	w.database.mu.Unlock()
	var sent []step
	shapes, settings := make(map[string]string), make(map[string]map[string]string)
	for round := range hostileRounds {
		for i, odd := range oddTexts {
			if !w.trouble {
				odd = fmt.Sprintf("q%d", i)
			}
			for j, text := range []string{odd, "q4"} {
				id, mode := fmt.Sprintf("r%d-%d-%d", round, i, j), []string{"READ", "WRITE"}[(round+i+j)%2]
				steps := []step{
					{id + "a", "SET v1 " + text}, {id + "b", "PREPARE s1 " + mode + " " + text},
					{id + "c", "EXECUTE s1 1c2 " + id}, {id + "d", "SET v1 " + id}, {id + "e", "READ 1c2"},
				}
				shapes[id+"c"] = text
				settings[id+"c"], settings[id+"e"] = map[string]string{"v1": text}, map[string]string{"v1": id}
				if err := w.runSession(steps); err != nil {
					return nil, err
				}
				sent = append(sent, steps...)
			}
		}
		time.Sleep(hostilePause)
	}
	found := append(w.otherShapes(shapes), w.otherSettings(settings)...)
	found = append(found, w.unasked(sent)...)
	w.database.mu.Lock()
	defer w.database.mu.Unlock()
	return append(found, violations...), nil
}

// otherSettings returns the statements that ran with other settings than those of their sessions; settings holds these
// by the ids of the statements.
func (w *world) otherSettings(settings map[string]map[string]string) []string {
	var violations []string
	d := w.database
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.statements {
		if want, ok := settings[r.id]; ok && !maps.Equal(r.settings, want) {
			violations = append(violations, fmt.Sprintf("%s ran %s with the settings %q, those of its session are %q",
				r.upstream, r.id, r.settings, want))
		}
	}
	return violations
}
