package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// reads is the number of reads, lostEvery says that the answer of one in so many is lost.
	reads, lostEvery = 60, 10
	// readPause is the pause between two reads.
	readPause = 100 * time.Millisecond
)

// runLostAnswer reads an item again and again on a primary route, while the primary loses the answers of some reads.
// Rule MIXED: a client gets a success for a read only with the upstream's signature for it, and with its rows.
func runLostAnswer(w *world) ([]string, error) {
	const item, data = "11", "booked"
	if a, err := w.read("a0", "WRITE "+item+" "+data); err != nil || a.code != "" {
		return nil, fmt.Errorf("%w: the write was not acknowledged: %s, %w", errNotRun, a.code, err)
	}
	if w.trouble {
		w.database.loseAnswers(lostEvery)
	}
	var violations []string
	for i := range reads {
		id := fmt.Sprintf("r%d", i)
		a, err := w.read(id, "READ "+item)
		w.record.add("client: READ %s as %s: rows %q, signature %q, error %q, state %q, %v", item, id, a.rows, a.signature,
			a.code, a.state, err)
		if err == nil && a.code == "" && (!w.signed(a.signature, id) || strings.Join(a.rows, "|") != data) {
			violations = append(violations, fmt.Sprintf("%s succeeded with the rows %q and the signature %q", id, a.rows,
				a.signature))
		}
		time.Sleep(readPause)
	}
	w.database.recordStatements()
	return violations, nil
}

// read runs a statement in a session of its own on a primary route.
func (w *world) read(id, text string) (answer, error) {
	c, err := w.connect(w.nodes[0])
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	return c.query(id, text)
}

// signed reports whether the signature is that of an upstream for the statement.
func (w *world) signed(text, id string) bool {
	for _, u := range w.database.upstreams {
		if text == signature(u, id) {
			return true
		}
	}
	return false
}

// loseAnswers makes the upstreams lose the answer of one in so many reads. The connection goes on.
func (d *database) loseAnswers(every int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostEvery = every
}

// recordStatements adds the statements that upstreams ran to the record.
func (d *database) recordStatements() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.statements {
		d.record.add("%s ran %s %q", r.upstream, r.id, r.text)
	}
}

// losesAnswer reports whether the answer to a line is lost.
func (d *database) losesAnswer(line string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostEvery == 0 || !strings.Contains(line, " READ ") {
		return false
	}
	d.answers++
	lost := d.answers%d.lostEvery == 0
	if lost {
		d.record.add("the answer to %q is lost", line)
	}
	return lost
}
