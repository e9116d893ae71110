package currantloom

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// RulesUpdate sends accepted rules from node to node: the changed lines if the receiver is expected to have the base
// revision, else the whole text.
type RulesUpdate struct {
	Revision RulesRevision
	ChangeID string
	// BaseRevision is the revision that InsertedLines and RemovedLines apply to; zero means that Text is the whole file.
	BaseRevision RulesRevision
	Text         string
	// At StartLine of the base, counted from 0, RemovedLines lines are replaced by InsertedLines.
	StartLine, RemovedLines int
	InsertedLines           []string
	// Digest is the digest of the resulting text.
	Digest string
}

// NewRulesUpdate returns the update from base to the document. If base is the zero document, or the
// changed lines are no shorter than the document, the update holds the whole text.
func NewRulesUpdate(base, document RulesDocument) RulesUpdate {
	u := RulesUpdate{
		Revision: document.revision, ChangeID: document.changeID, BaseRevision: base.revision, Digest: digest(document.text),
	}
	before, after := strings.Split(base.text, "\n"), strings.Split(document.text, "\n")
	for u.StartLine < min(len(before), len(after)) && before[u.StartLine] == after[u.StartLine] {
		u.StartLine++
	}
	end := 0
	for end < min(len(before), len(after))-u.StartLine && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	u.RemovedLines = len(before) - end - u.StartLine
	u.InsertedLines = after[u.StartLine : len(after)-end]
	size := 0
	for _, line := range u.InsertedLines {
		size += len(line) + 1
	}
	if base.revision == 0 || size >= len(document.text) {
		return RulesUpdate{
			Revision: u.Revision, ChangeID: u.ChangeID, Text: document.text, Digest: u.Digest,
		}
	}
	return u
}

// Apply returns the document that results from the update. It reports false if the update needs another base, or if the
// digest of the result differs from the sender's.
func (u RulesUpdate) Apply(base RulesDocument) (RulesDocument, bool) {
	text := u.Text
	if u.BaseRevision != 0 {
		lines := strings.Split(base.text, "\n")
		if u.BaseRevision != base.revision || u.StartLine < 0 || u.RemovedLines < 0 ||
			u.StartLine > len(lines)-u.RemovedLines {
			return RulesDocument{}, false
		}
		lines = slices.Concat(lines[:u.StartLine], u.InsertedLines, lines[u.StartLine+u.RemovedLines:])
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
	VM            VMName
	Region        Region
	FailureDomain FailureDomain
	Version       string
	Revision      RulesRevision
	Ready         bool
	Uptime        time.Duration
	VMs           []VMReport
	Databases     []DatabaseReport
}

// VMReport is what a node knows of a VM.
type VMReport struct {
	Name           VMName
	Region         Region
	FailureDomain  FailureDomain
	ControlAddress string
	Leaving        bool
	Unusable       bool
}

// DatabaseReport is what a node knows of a database.
type DatabaseReport struct {
	Name      DatabaseName
	Term      Term
	Primary   UpstreamName
	Upstreams []UpstreamReport
}

// UpstreamReport is what a node knows of an upstream. The status, the queue and the connections are set only for
// upstreams that the node owns.
type UpstreamReport struct {
	Name UpstreamName
	// Owner is the VM whose node owns the connections to the upstream; Owned says that it is the reporting node.
	Owner   VMName
	Owned   bool
	Leaving bool
	// Polled says that the upstream has answered a poll of the node; StatusAge is the time since that poll was sent.
	Polled      bool
	StatusAge   time.Duration
	Status      PostgresStatus
	Running     int
	Waiting     int
	Connections int
}

// ControlHandler answers the requests of the control protocol at a node.
type ControlHandler interface {
	// PushRules receives rules that a peer has in effect.
	PushRules(from VMName, update RulesUpdate)
	// PullRules returns the node's own revision and, if the peer's revision is older, the update to it.
	PullRules(from VMName, revision RulesRevision) (own RulesRevision, update *RulesUpdate)
	// Status returns the node's report.
	Status() NodeStatus
	// CancelRequest cancels a request that runs or waits at this node as the owner of its upstream.
	CancelRequest(key RequestKey)
	// CancelSession cancels the running request of a session of this node.
	CancelSession(pid uint32, secret []byte)
}

// ControlClient sends requests of the control protocol to other nodes.
type ControlClient interface {
	PushRules(ctx context.Context, address string, from VMName, update RulesUpdate) error
	PullRules(
		ctx context.Context, address string, from VMName, revision RulesRevision,
	) (RulesRevision, *RulesUpdate, error)
	Status(ctx context.Context, address string) (NodeStatus, error)
	CancelRequest(ctx context.Context, address string, key RequestKey) error
	CancelSession(ctx context.Context, address string, pid uint32, secret []byte) error
	Close() error
}
