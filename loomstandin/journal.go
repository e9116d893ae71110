package loomstandin

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"
)

// record is one line of a journal: a granted term, a role in a term, a log entry, a truncation of the log, the start of
// the journal, or the note that a server that lost its log has caught up.
type record struct {
	GrantedTerm uint64 `json:"granted,omitempty"`
	Proposer    string `json:"proposer,omitempty"`
	Term        uint64 `json:"term,omitempty"`
	Primary     string `json:"primary,omitempty"`
	Entry       *entry `json:"entry,omitempty"`
	Truncate    *int   `json:"truncate,omitempty"`
	CaughtUp    bool   `json:"filled,omitempty"`
	Started     bool   `json:"started,omitempty"`
}

// journal stores a member's state in a file of one JSON record per line, which is not synced. A nil journal stores
// nothing.
type journal struct {
	file    *os.File
	encoder *json.Encoder
}

// write appends a record. It panics on an error, because a stand-in that cannot store its log is of no use.
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

// openJournal opens or creates the file and replays its records. It drops an incomplete last line, which a killed
// process may leave.
func openJournal(path string, replay func(record)) (*journal, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	var validBytes int64
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
		validBytes += int64(len(line))
		replay(r)
	}
	if err := file.Truncate(validBytes); err != nil {
		_ = file.Close()
		return nil, err
	}
	if _, err := file.Seek(validBytes, io.SeekStart); err != nil {
		_ = file.Close()
		return nil, err
	}
	return &journal{file: file, encoder: json.NewEncoder(file)}, nil
}

// newMember returns the state of a server at its start. A server without a journal, or with an empty one, belongs to a
// new group if bootstrap is the address of the group's first primary, and counts as one that lost its log otherwise.
func newMember(name string, size int, path, bootstrap string) (*member, error) {
	m := &member{name: name, size: size, changed: make(chan struct{}), tables: newTables(), logLost: true}
	m.keyLocks, m.followers = make(map[rowKey]*transaction), make(map[string]*follower)
	isNew := true
	if path != "" {
		j, err := openJournal(path, func(r record) {
			isNew = false
			m.replay(r)
		})
		if err != nil {
			return nil, err
		}
		m.journal = j
	}
	m.lastContact = time.Now()
	if isNew {
		m.journal.write(record{Started: true})
		if bootstrap != "" {
			m.logLost = false
			m.journal.write(record{CaughtUp: true})
			m.grantedTerm = 1
			m.journal.write(record{GrantedTerm: 1})
			m.startTerm(1, bootstrap)
			if m.isPrimary {
				m.append(entry{Term: 1})
			}
		}
		return m, nil
	}
	// A restarted primary may hold entries that no other server has, and its open transactions are lost. It waits as a
	// replica until it is assigned a role.
	m.isPrimary = false
	if m.primary == name {
		m.primary = ""
	}
	m.applyThrough(len(m.log))
	return m, nil
}

// replay applies a record of the journal to the state.
func (m *member) replay(r record) {
	switch {
	case r.GrantedTerm > 0:
		m.grantedTerm, m.proposer = r.GrantedTerm, r.Proposer
	case r.Term > 0:
		m.term, m.primary = r.Term, r.Primary
	case r.Entry != nil:
		m.log = append(m.log, *r.Entry)
	case r.Truncate != nil:
		m.log = m.log[:*r.Truncate]
	case r.CaughtUp:
		m.logLost = false
	}
}
