package loomstandin

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"
)

// record is one line of a journal: a grant, a role in a term, a log entry, a dropped tail of the log, or the note that
// a server that lost its log has caught up.
type record struct {
	Granted  uint64 `json:"granted,omitempty"`
	Proposer string `json:"proposer,omitempty"`
	Term     uint64 `json:"term,omitempty"`
	Primary  string `json:"primary,omitempty"`
	Entry    *entry `json:"entry,omitempty"`
	Truncate *int   `json:"truncate,omitempty"`
	Filled   bool   `json:"filled,omitempty"`
	Started  bool   `json:"started,omitempty"`
}

// journal keeps a member's state in a file, one JSON record a line, without sync. A nil journal keeps nothing.
type journal struct {
	file    *os.File
	encoder *json.Encoder
}

// write appends a record. The stand-in has no use for a server that cannot keep its log, so an error ends it.
func (j *journal) write(r record) {
	if j == nil {
		return
	}
	if err := j.encoder.Encode(r); err != nil {
		panic("loomstandin: write journal: " + err.Error())
	}
}

func (j *journal) close() {
	if j != nil {
		_ = j.file.Close()
	}
}

// openJournal opens or creates the file and replays its records. A last line that a killed process left incomplete is
// dropped.
func openJournal(path string, replay func(record)) (*journal, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	var good int64
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			break
		}
		var r record
		if err == nil {
			err = json.Unmarshal(line, &r)
		}
		if err != nil {
			_ = file.Close()
			return nil, err
		}
		good += int64(len(line))
		replay(r)
	}
	if err := file.Truncate(good); err != nil {
		_ = file.Close()
		return nil, err
	}
	if _, err := file.Seek(good, io.SeekStart); err != nil {
		_ = file.Close()
		return nil, err
	}
	return &journal{file: file, encoder: json.NewEncoder(file)}, nil
}

// newMember returns the state of a server at its start. A server without a journal, or with an empty one, is the
// primary or a replica of a new group if bootstrap names the group's first primary, and has lost its log otherwise.
func newMember(name string, size int, path, bootstrap string) (*member, error) {
	m := &member{name: name, size: size, changed: make(chan struct{}), tables: newTables(), refilling: true}
	m.locks, m.followers = make(map[rowKey]*transaction), make(map[string]*follower)
	fresh := true
	if path != "" {
		j, err := openJournal(path, func(r record) {
			fresh = false
			m.replay(r)
		})
		if err != nil {
			return nil, err
		}
		m.journal = j
	}
	m.heard = time.Now()
	if fresh {
		m.journal.write(record{Started: true})
		if bootstrap != "" {
			m.refilling = false
			m.journal.write(record{Filled: true})
			m.granted = 1
			m.journal.write(record{Granted: 1})
			m.startTerm(1, bootstrap)
			if m.leading {
				m.append(entry{Term: 1})
			}
		}
		return m, nil
	}
	// A restarted primary may hold entries that no other server has, and its open transactions are gone: it waits as
	// a replica until it is told its role.
	m.leading = false
	if m.primary == name {
		m.primary = ""
	}
	m.applyThrough(len(m.log))
	return m, nil
}

func (m *member) replay(r record) {
	switch {
	case r.Granted > 0:
		m.granted, m.proposer = r.Granted, r.Proposer
	case r.Term > 0:
		m.term, m.primary = r.Term, r.Primary
	case r.Entry != nil:
		m.log = append(m.log, *r.Entry)
	case r.Truncate != nil:
		m.log = m.log[:*r.Truncate]
	case r.Filled:
		m.refilling = false
	}
}
