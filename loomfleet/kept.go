package loomfleet

import "currantloom.example/currantloom"

// This file bounds what a session keeps. Each call carries the settings of its session, and many sessions share a node.

const (
	// maxKeptEntries bounds the number of settings and prepared statements of a session.
	maxKeptEntries = 1000
	// maxKeptSize bounds the size of its settings and prepared statements with their names, in bytes. A single one may be
	// as large as a message of a client.
	maxKeptSize = 1 << 20
)

// reasonKept is the detail of the refusal of another setting or prepared statement.
const reasonKept = "the session keeps too many settings and prepared statements"

// keepSetting sets a setting of the session. It reports false if the session would keep too much.
func (sn *session) keepSetting(name, value string) bool {
	old, known := sn.settings[name]
	if !sn.reserve(known, len(name)+len(value), len(name)+len(old)) {
		return false
	}
	sn.settings[name] = value
	return true
}

// keepPrepared defines a prepared statement of the session. It reports false if the session would keep too much.
func (sn *session) keepPrepared(name string, p currantloom.PreparedStatement) bool {
	old, known := sn.prepared[name]
	if !sn.reserve(known, len(name)+len(p.Definition), len(name)+len(old.Definition)) {
		return false
	}
	sn.prepared[name] = p
	return true
}

// dropPrepared removes a prepared statement of the session, if there is one of that name.
func (sn *session) dropPrepared(name string) {
	if p, known := sn.prepared[name]; known {
		sn.keptSize -= len(name) + len(p.Definition)
		delete(sn.prepared, name)
	}
}

// reserve counts the size of an entry. If its name is known, the entry replaces one of the old size.
func (sn *session) reserve(known bool, size, oldSize int) bool {
	total, entries := sn.keptSize+size, len(sn.settings)+len(sn.prepared)
	if known {
		total -= oldSize
	} else {
		entries++
	}
	if total > maxKeptSize || entries > maxKeptEntries {
		return false
	}
	sn.keptSize = total
	return true
}

// replyKept answers a statement that changes what the session keeps.
func (s *State) replyKept(sn *session, st currantloom.Statement, kept bool) {
	if !kept {
		s.refuse(sn, st, currantloom.ReplyMalformed, reasonKept)
		return
	}
	s.replyOK(sn)
}
