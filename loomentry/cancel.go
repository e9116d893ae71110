package loomentry

import (
	"crypto/subtle"
	"hash/fnv"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

// pidBits is the number of bits of a process id that number the sessions of a node. A node of the target size has about
// 4,700 sessions.
const pidBits = 16

// PIDPrefix returns the upper part of the process ids that the node of a VM reports. Its top bit is zero, because
// drivers store process ids as signed numbers. Two VMs may have the same prefix; the secret distinguishes their
// sessions.
func PIDPrefix(vm currantloom.VMName) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return (h.Sum32() >> (pidBits + 1)) << pidBits
}

// newPID returns an unused process id. The lock is held.
func (s *Server) newPID() uint32 {
	for {
		s.lastPID = (s.lastPID + 1) % (1 << pidBits)
		pid := PIDPrefix(s.VM) | s.lastPID
		if s.sessions[pid] == nil && pid != 0 {
			return pid
		}
	}
}

// Cancel cancels the request that the session with the process id and the secret runs at this moment. It reports
// whether there is such a session.
func (s *Server) Cancel(pid uint32, secret []byte) bool {
	s.mu.Lock()
	session := s.sessions[pid]
	matches := session != nil && subtle.ConstantTimeCompare(session.secret[:], secret) == 1
	s.mu.Unlock()
	if !matches {
		return false
	}
	session.cancel()
	return true
}

// receiveCancel handles a CancelRequest, which a client sends in place of a startup message and which gets no answer.
func (s *Session) receiveCancel(body []byte) {
	var m pgproto3.CancelRequest
	if err := m.Decode(body); err != nil {
		return
	}
	if !s.server.Cancel(m.ProcessID, m.SecretKey) && s.server.ForwardCancel != nil {
		s.server.ForwardCancel(m.ProcessID, m.SecretKey)
	}
}
