package main

import (
	"fmt"
	"strings"
	"time"
)

// step is a statement of a session.
type step struct{ id, text string }

// runSteps runs the statements in one session on a primary route, and waits for statements that nobody waits for.
func (w *world) runSteps(steps []step) error {
	if err := w.runSession(steps); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// runSession runs the statements in one session on a primary route. A client ends the session on an error of transport.
func (w *world) runSession(steps []step) error {
	c, err := w.connect(w.nodes[0])
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer c.close()
	for _, s := range steps {
		a, err := c.query(s.id, s.text)
		w.record.add("client: sent %q, answered rows %q, signature %q, error %q, state %q, %v", "QUERY "+s.id+" "+s.text,
			a.rows, a.signature, a.code, a.state, err)
		if err != nil {
			return nil
		}
	}
	return nil
}

// unasked returns the statements that upstreams ran and that no client sent in this form. Names of prepared statements
// may differ, so texts of EXECUTE are compared without them.
func (w *world) unasked(steps []step) []string {
	texts := make(map[string]string)
	for _, s := range steps {
		texts[s.id] = withoutName(s.text)
	}
	var violations []string
	d := w.database
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.statements {
		w.record.add("%s ran %s %q", r.upstream, r.id, r.text)
		text, ok := texts[r.id]
		switch {
		case !ok:
			violations = append(violations, fmt.Sprintf("%s ran %s %q, an id that no client sent", r.upstream, r.id, r.text))
		case text != withoutName(r.text):
			violations = append(violations, fmt.Sprintf("%s ran %s as %q, the client sent %q", r.upstream, r.id,
				withoutName(r.text), text))
		}
	}
	return violations
}

// runLineFeed writes data that contain a line feed. Rule UNASKED: an upstream runs only what clients sent.
func runLineFeed(w *world) ([]string, error) {
	note, quoted := "deliver to gate 4", "see your message"
	if w.trouble {
		note += "\nring twice"
		quoted += "\nQUERY 5c0e7a21d94b36f8 WRITE 77 overwritten"
	}
	steps := []step{
		{id: "a1", text: "WRITE 11 first"}, {id: "a2", text: "WRITE 12 " + quoted},
	}
	other := []step{{id: "b1", text: "WRITE 13 " + note}}
	for _, s := range [][]step{steps, other} {
		if err := w.runSteps(s); err != nil {
			return nil, err
		}
	}
	return w.unasked(append(steps, other...)), nil
}

// runTrailingBlank writes data that end in blanks through a prepared statement. Rule UNASKED: an upstream runs only
// what clients sent.
func runTrailingBlank(w *world) ([]string, error) {
	data := "AB1"
	if w.trouble {
		data += "   "
	}
	steps := []step{
		{id: "a1", text: "WRITE 11 " + data}, {id: "a2", text: "PREPARE s1 WRITE q2c"},
		{id: "a3", text: "EXECUTE s1 12 " + data}, {id: "a4", text: "READ 11"}, {id: "a5", text: "READ 12"},
	}
	if err := w.runSteps(steps); err != nil {
		return nil, err
	}
	return w.unasked(steps), nil
}

// runShape prepares a statement whose shape contains a blank. Rules PINNED and UNASKED.
func runShape(w *world) ([]string, error) {
	shape := "q2c"
	if w.trouble {
		shape = "q 2c"
	}
	steps := []step{
		{id: "a1", text: "PREPARE s1 WRITE q"}, {id: "a2", text: "EXECUTE s1 11 first"},
		{id: "a3", text: "PREPARE s2 WRITE " + shape}, {id: "a4", text: "EXECUTE s2 12 second"},
		{id: "a5", text: "READ 12"}, {id: "a6", text: "READ 2c"},
	}
	if err := w.runSteps(steps); err != nil {
		return nil, err
	}
	return append(w.otherShapes(map[string]string{"a2": "q", "a4": shape}), w.unasked(steps)...), nil
}

// otherShapes returns the statements that ran another shape than their clients had prepared; prepared holds the shapes
// by the ids of the statements.
func (w *world) otherShapes(prepared map[string]string) []string {
	var violations []string
	d := w.database
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.statements {
		if shape, ok := prepared[r.id]; ok && r.shape != shape {
			violations = append(violations, fmt.Sprintf("%s ran %s with the shape %q, its client prepared %q", r.upstream,
				r.id, r.shape, shape))
		}
	}
	return violations
}

// withoutName removes the name of the prepared statement from the text of EXECUTE.
func withoutName(text string) string {
	rest, ok := strings.CutPrefix(text, "EXECUTE ")
	if !ok {
		return text
	}
	_, arguments, _ := strings.Cut(rest, " ")
	return "EXECUTE " + arguments
}
