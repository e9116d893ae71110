package currantloom

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// RulesUpdate carries accepted rules from node to node: the changed lines if the receiver is expected to have the
// base, else the whole text.
type RulesUpdate struct {
	Revision Revision
	ChangeID string
	// Base is the revision that the lines apply to; zero means that Text is the whole file.
	Base Revision
	Text string
	// Removed lines at line Start (from 0) of the base are replaced by Inserted.
	Start, Removed int
	Inserted       []string
	// Digest is that of the resulting text.
	Digest string
}

// NewRulesUpdate returns the update from base to the document. The zero base gives the whole text.
func NewRulesUpdate(base, document RulesDocument) RulesUpdate {
	u := RulesUpdate{
		Revision: document.revision, ChangeID: document.changeID, Base: base.revision, Digest: digest(document.text),
	}
	before, after := strings.Split(base.text, "\n"), strings.Split(document.text, "\n")
	for u.Start < min(len(before), len(after)) && before[u.Start] == after[u.Start] {
		u.Start++
	}
	end := 0
	for end < min(len(before), len(after))-u.Start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	u.Removed = len(before) - end - u.Start
	u.Inserted = after[u.Start : len(after)-end]
	size := 0
	for _, line := range u.Inserted {
		size += len(line) + 1
	}
	if base.revision == 0 || size >= len(document.text) {
		return RulesUpdate{
			Revision: u.Revision, ChangeID: u.ChangeID, Text: document.text, Digest: u.Digest,
		}
	}
	return u
}

// Apply returns the document that the update leads to. It reports false if the update needs another base, or if the
// result is not the sender's text.
func (u RulesUpdate) Apply(base RulesDocument) (RulesDocument, bool) {
	text := u.Text
	if u.Base != 0 {
		lines := strings.Split(base.text, "\n")
		if u.Base != base.revision || u.Start < 0 || u.Removed < 0 || u.Start > len(lines)-u.Removed {
			return RulesDocument{}, false
		}
		lines = slices.Concat(lines[:u.Start], u.Inserted, lines[u.Start+u.Removed:])
		text = strings.Join(lines, "\n")
	}
	if digest(text) != u.Digest {
		return RulesDocument{}, false
	}
	return NewRulesDocument(u.Revision, u.ChangeID, text), true
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// NodeStatus is what a node reports to operators.
type NodeStatus struct {
	VM        VMName
	Region    Region
	Domain    FailureDomain
	Version   string
	Revision  Revision
	Ready     bool
	Uptime    time.Duration
	VMs       []VMReport
	Databases []DatabaseReport
}

// VMReport is a node's view of a VM.
type VMReport struct {
	Name    VMName
	Region  Region
	Domain  FailureDomain
	Control string
	Leaving bool
	Failing bool
}

// DatabaseReport is a node's view of a database.
type DatabaseReport struct {
	Name    DatabaseName
	Term    Term
	Primary ServerName
	Servers []ServerReport
}

// ServerReport is a node's view of a database server. Carried servers have a status, a queue and connections.
type ServerReport struct {
	Name    ServerName
	Carrier VMName
	Carried bool
	Leaving bool
	// Known says that the node has polled the server; Age is the time since the answer.
	Known       bool
	Age         time.Duration
	Status      ServerStatus
	Running     int
	Waiting     int
	Connections int
}

// ControlNode is what a node answers over the control protocol.
type ControlNode interface {
	// PushRules takes rules that a peer has in effect.
	PushRules(from VMName, update RulesUpdate)
	// PullRules returns the own revision and, if the peer's revision is older, the update to it.
	PullRules(from VMName, revision Revision) (own Revision, update *RulesUpdate)
	// Status returns the node's report.
	Status() NodeStatus
	// CancelRequest gives up work at this carrier.
	CancelRequest(key RequestKey)
	// CancelSession gives up what a session of this node runs.
	CancelSession(pid uint32, secret []byte)
}

// ControlPeers reaches other nodes over the control protocol.
type ControlPeers interface {
	PushRules(ctx context.Context, address string, from VMName, update RulesUpdate) error
	PullRules(ctx context.Context, address string, from VMName, revision Revision) (Revision, *RulesUpdate, error)
	Status(ctx context.Context, address string) (NodeStatus, error)
	CancelRequest(ctx context.Context, address string, key RequestKey) error
	CancelSession(ctx context.Context, address string, pid uint32, secret []byte) error
	Close() error
}
