package loompeer

import (
	"time"

	"currantloom.example/currantloom"
)

// Methods of the control protocol.
const (
	methodPush   = "rules.push"
	methodPull   = "rules.pull"
	methodStatus = "status"
	methodCancel = "cancel"
)

// pushMessage is the parameter of rules.push. Without From it is part of the result of rules.pull.
type pushMessage struct {
	From          string   `json:"from,omitempty"`
	Revision      uint64   `json:"revision"`
	ChangeID      string   `json:"change,omitempty"`
	BaseRevision  uint64   `json:"base,omitempty"`
	Text          string   `json:"text,omitempty"`
	StartLine     int      `json:"start,omitempty"`
	RemovedLines  int      `json:"removed,omitempty"`
	InsertedLines []string `json:"inserted,omitempty"`
	Digest        string   `json:"digest"`
}

func newPushMessage(from currantloom.VMName, update currantloom.RulesUpdate) pushMessage {
	return pushMessage{
		From: string(from), Revision: uint64(update.Revision), ChangeID: update.ChangeID,
		BaseRevision: uint64(update.BaseRevision), Text: update.Text, StartLine: update.StartLine,
		RemovedLines: update.RemovedLines, InsertedLines: update.InsertedLines, Digest: update.Digest,
	}
}

func (m pushMessage) rulesUpdate() currantloom.RulesUpdate {
	return currantloom.RulesUpdate{
		Revision: currantloom.RulesRevision(m.Revision), ChangeID: m.ChangeID,
		BaseRevision: currantloom.RulesRevision(m.BaseRevision),
		Text:         m.Text, StartLine: m.StartLine, RemovedLines: m.RemovedLines,
		InsertedLines: m.InsertedLines, Digest: m.Digest,
	}
}

// pullMessage is the parameter of rules.pull, pullResult its result.
type pullMessage struct {
	From     string `json:"from"`
	Revision uint64 `json:"revision"`
}

type pullResult struct {
	Revision uint64       `json:"revision"`
	Update   *pushMessage `json:"update,omitempty"`
}

// cancelMessage is the parameter of cancel: the key of a request, or the process id and secret of a session.
type cancelMessage struct {
	VM     string `json:"vm,omitempty"`
	Number uint64 `json:"number,omitempty"`
	PID    uint32 `json:"pid,omitempty"`
	Secret []byte `json:"secret,omitempty"`
}

// statusMessage is the wire form of currantloom.NodeStatus. Times are in milliseconds.
type statusMessage struct {
	VM            string            `json:"vm"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"domain"`
	Version       string            `json:"version,omitempty"`
	Revision      uint64            `json:"revision"`
	Ready         bool              `json:"ready"`
	Uptime        int64             `json:"uptime_ms"`
	VMs           []vmMessage       `json:"vms"`
	Databases     []databaseMessage `json:"databases"`
}

type vmMessage struct {
	Name           string `json:"name"`
	Region         string `json:"region"`
	FailureDomain  string `json:"domain"`
	ControlAddress string `json:"control,omitempty"`
	Leaving        bool   `json:"leaving,omitempty"`
	Unusable       bool   `json:"failing,omitempty"`
}

type databaseMessage struct {
	Name      string            `json:"name"`
	Term      uint64            `json:"term"`
	Primary   string            `json:"primary,omitempty"`
	Upstreams []upstreamMessage `json:"servers"`
}

type upstreamMessage struct {
	Name           string `json:"name"`
	Owner          string `json:"carrier,omitempty"`
	Owned          bool   `json:"carried,omitempty"`
	Leaving        bool   `json:"leaving,omitempty"`
	Polled         bool   `json:"known,omitempty"`
	StatusAge      int64  `json:"age_ms,omitempty"`
	Role           string `json:"role,omitempty"`
	Term           uint64 `json:"term,omitempty"`
	GrantedTerm    uint64 `json:"granted,omitempty"`
	Position       string `json:"mark,omitempty"`
	PrimarySilence int64  `json:"silence_ms,omitempty"`
	Running        int    `json:"running,omitempty"`
	Waiting        int    `json:"waiting,omitempty"`
	Connections    int    `json:"connections,omitempty"`
}

func newStatusMessage(s currantloom.NodeStatus) statusMessage {
	m := statusMessage{
		VM: string(s.VM), Region: string(s.Region), FailureDomain: string(s.FailureDomain), Version: s.Version,
		Revision: uint64(s.Revision), Ready: s.Ready, Uptime: s.Uptime.Milliseconds(),
	}
	for _, vm := range s.VMs {
		m.VMs = append(m.VMs, vmMessage{
			Name: string(vm.Name), Region: string(vm.Region), FailureDomain: string(vm.FailureDomain),
			ControlAddress: vm.ControlAddress, Leaving: vm.Leaving, Unusable: vm.Unusable,
		})
	}
	for _, d := range s.Databases {
		database := databaseMessage{Name: string(d.Name), Term: uint64(d.Term), Primary: string(d.Primary)}
		for _, upstream := range d.Upstreams {
			database.Upstreams = append(database.Upstreams, newUpstreamMessage(upstream))
		}
		m.Databases = append(m.Databases, database)
	}
	return m
}

func newUpstreamMessage(report currantloom.UpstreamReport) upstreamMessage {
	m := upstreamMessage{
		Name: string(report.Name), Owner: string(report.Owner), Owned: report.Owned, Leaving: report.Leaving,
		Polled: report.Polled, Running: report.Running, Waiting: report.Waiting, Connections: report.Connections,
	}
	if report.Polled {
		m.StatusAge, m.Role, m.Term =
			report.StatusAge.Milliseconds(), report.Status.Role.String(), uint64(report.Status.Term)
		m.GrantedTerm, m.Position = uint64(report.Status.GrantedTerm), report.Status.Position.String()
		m.PrimarySilence = report.Status.PrimarySilence.Milliseconds()
	}
	return m
}

func (m statusMessage) nodeStatus() currantloom.NodeStatus {
	s := currantloom.NodeStatus{
		VM: currantloom.VMName(m.VM), Region: currantloom.Region(m.Region),
		FailureDomain: currantloom.FailureDomain(m.FailureDomain),
		Version:       m.Version, Revision: currantloom.RulesRevision(m.Revision), Ready: m.Ready,
		Uptime: milliseconds(m.Uptime),
	}
	for _, vm := range m.VMs {
		s.VMs = append(s.VMs, currantloom.VMReport{
			Name: currantloom.VMName(vm.Name), Region: currantloom.Region(vm.Region),
			FailureDomain: currantloom.FailureDomain(vm.FailureDomain), ControlAddress: vm.ControlAddress, Leaving: vm.Leaving,
			Unusable: vm.Unusable,
		})
	}
	for _, d := range m.Databases {
		report := currantloom.DatabaseReport{
			Name: currantloom.DatabaseName(d.Name), Term: currantloom.Term(d.Term), Primary: currantloom.UpstreamName(d.Primary),
		}
		for _, upstream := range d.Upstreams {
			report.Upstreams = append(report.Upstreams, upstream.upstreamReport())
		}
		s.Databases = append(s.Databases, report)
	}
	return s
}

func (m upstreamMessage) upstreamReport() currantloom.UpstreamReport {
	r := currantloom.UpstreamReport{
		Name: currantloom.UpstreamName(m.Name), Owner: currantloom.VMName(m.Owner), Owned: m.Owned,
		Leaving: m.Leaving, Polled: m.Polled, StatusAge: milliseconds(m.StatusAge), Running: m.Running, Waiting: m.Waiting,
		Connections: m.Connections,
	}
	if position, err := currantloom.ParseLogPosition(m.Position); err == nil && m.Polled {
		r.Status = currantloom.PostgresStatus{
			Role: currantloom.ParseRole(m.Role), Term: currantloom.Term(m.Term), GrantedTerm: currantloom.Term(m.GrantedTerm),
			Position: position, PrimarySilence: milliseconds(m.PrimarySilence),
		}
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
