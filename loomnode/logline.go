package loomnode

import (
	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomlog"
)

// logLine returns the log line of a decision with its non-empty fields.
func logLine(e loomcore.Decision) loomlog.Line {
	fields := make([]any, 0, 14)
	add := func(name string, empty bool, value any) {
		if !empty {
			fields = append(fields, name, value)
		}
	}
	add("request", e.Key == currantloom.RequestKey{}, e.Key)
	add("caller", e.Organisation == "", e.Organisation)
	add("server", e.Upstream == "", e.Upstream)
	add("vm", e.VM == "", e.VM)
	add("term", e.Term == 0, e.Term)
	add("revision", e.Revision == 0, e.Revision)
	add("reason", e.Reason == "", e.Reason)
	return loomlog.Line{Event: e.Event, Fields: fields}
}
