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

// pushMessage is the parameter of rules.push, and of a pull's answer without From.
type pushMessage struct {
	From     string   `json:"from,omitempty"`
	Revision uint64   `json:"revision"`
	ChangeID string   `json:"change,omitempty"`
	Base     uint64   `json:"base,omitempty"`
	Text     string   `json:"text,omitempty"`
	Start    int      `json:"start,omitempty"`
	Removed  int      `json:"removed,omitempty"`
	Inserted []string `json:"inserted,omitempty"`
	Digest   string   `json:"digest"`
}

func newPushMessage(from currantloom.VMName, u currantloom.RulesUpdate) pushMessage {
	return pushMessage{
		From: string(from), Revision: uint64(u.Revision), ChangeID: u.ChangeID, Base: uint64(u.BaseRevision), Text: u.Text,
		Start: u.StartLine, Removed: u.RemovedLines, Inserted: u.InsertedLines, Digest: u.Digest,
	}
}

func (m pushMessage) update() currantloom.RulesUpdate {
	return currantloom.RulesUpdate{
		Revision: currantloom.RulesRevision(m.Revision), ChangeID: m.ChangeID,
		BaseRevision: currantloom.RulesRevision(m.Base),
		Text:         m.Text, StartLine: m.Start, RemovedLines: m.Removed, InsertedLines: m.Inserted, Digest: m.Digest,
	}
}

// pullMessage is the parameter of rules.pull, pullAnswer its result.
type pullMessage struct {
	From     string `json:"from"`
	Revision uint64 `json:"revision"`
}

type pullAnswer struct {
	Revision uint64       `json:"revision"`
	Update   *pushMessage `json:"update,omitempty"`
}

// cancelMessage is the parameter of cancel: the key of a request, or a session's process id and secret.
type cancelMessage struct {
	VM     string `json:"vm,omitempty"`
	Number uint64 `json:"number,omitempty"`
	PID    uint32 `json:"pid,omitempty"`
	Secret []byte `json:"secret,omitempty"`
}

// statusMessage is the wire form of currantloom.NodeStatus. Times are in milliseconds.
type statusMessage struct {
	VM        string            `json:"vm"`
	Region    string            `json:"region"`
	Domain    string            `json:"domain"`
	Version   string            `json:"version,omitempty"`
	Revision  uint64            `json:"revision"`
	Ready     bool              `json:"ready"`
	Uptime    int64             `json:"uptime_ms"`
	VMs       []vmMessage       `json:"vms"`
	Databases []databaseMessage `json:"databases"`
}

type vmMessage struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Control string `json:"control,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Failing bool   `json:"failing,omitempty"`
}

type databaseMessage struct {
	Name    string          `json:"name"`
	Term    uint64          `json:"term"`
	Primary string          `json:"primary,omitempty"`
	Servers []serverMessage `json:"servers"`
}

type serverMessage struct {
	Name        string `json:"name"`
	Carrier     string `json:"carrier,omitempty"`
	Carried     bool   `json:"carried,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	Known       bool   `json:"known,omitempty"`
	Age         int64  `json:"age_ms,omitempty"`
	Role        string `json:"role,omitempty"`
	Term        uint64 `json:"term,omitempty"`
	Granted     uint64 `json:"granted,omitempty"`
	Mark        string `json:"mark,omitempty"`
	Silence     int64  `json:"silence_ms,omitempty"`
	Running     int    `json:"running,omitempty"`
	Waiting     int    `json:"waiting,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

func newStatusMessage(s currantloom.NodeStatus) statusMessage {
	m := statusMessage{
		VM: string(s.VM), Region: string(s.Region), Domain: string(s.FailureDomain), Version: s.Version,
		Revision: uint64(s.Revision), Ready: s.Ready, Uptime: s.Uptime.Milliseconds(),
	}
	for _, v := range s.VMs {
		m.VMs = append(m.VMs, vmMessage{
			Name: string(v.Name), Region: string(v.Region), Domain: string(v.FailureDomain), Control: v.ControlAddress,
			Leaving: v.Leaving, Failing: v.Unusable,
		})
	}
	for _, d := range s.Databases {
		dm := databaseMessage{Name: string(d.Name), Term: uint64(d.Term), Primary: string(d.Primary)}
		for _, v := range d.Upstreams {
			dm.Servers = append(dm.Servers, newServerMessage(v))
		}
		m.Databases = append(m.Databases, dm)
	}
	return m
}

func newServerMessage(v currantloom.UpstreamReport) serverMessage {
	m := serverMessage{
		Name: string(v.Name), Carrier: string(v.Owner), Carried: v.Owned, Leaving: v.Leaving, Known: v.Polled,
		Running: v.Running, Waiting: v.Waiting, Connections: v.Connections,
	}
	if v.Polled {
		m.Age, m.Role, m.Term = v.StatusAge.Milliseconds(), v.Status.Role.String(), uint64(v.Status.Term)
		m.Granted, m.Mark = uint64(v.Status.GrantedTerm), v.Status.Position.String()
		m.Silence = v.Status.PrimarySilence.Milliseconds()
	}
	return m
}

func (m statusMessage) status() currantloom.NodeStatus {
	s := currantloom.NodeStatus{
		VM: currantloom.VMName(m.VM), Region: currantloom.Region(m.Region),
		FailureDomain: currantloom.FailureDomain(m.Domain),
		Version:       m.Version, Revision: currantloom.RulesRevision(m.Revision), Ready: m.Ready,
		Uptime: milliseconds(m.Uptime),
	}
	for _, v := range m.VMs {
		s.VMs = append(s.VMs, currantloom.VMReport{
			Name: currantloom.VMName(v.Name), Region: currantloom.Region(v.Region),
			FailureDomain: currantloom.FailureDomain(v.Domain), ControlAddress: v.Control, Leaving: v.Leaving,
			Unusable: v.Failing,
		})
	}
	for _, d := range m.Databases {
		report := currantloom.DatabaseReport{
			Name: currantloom.DatabaseName(d.Name), Term: currantloom.Term(d.Term), Primary: currantloom.UpstreamName(d.Primary),
		}
		for _, v := range d.Servers {
			report.Upstreams = append(report.Upstreams, v.report())
		}
		s.Databases = append(s.Databases, report)
	}
	return s
}

func (m serverMessage) report() currantloom.UpstreamReport {
	r := currantloom.UpstreamReport{
		Name: currantloom.UpstreamName(m.Name), Owner: currantloom.VMName(m.Carrier), Owned: m.Carried,
		Leaving: m.Leaving, Polled: m.Known, StatusAge: milliseconds(m.Age), Running: m.Running, Waiting: m.Waiting,
		Connections: m.Connections,
	}
	if mark, err := currantloom.ParseLogPosition(m.Mark); err == nil && m.Known {
		r.Status = currantloom.PostgresStatus{
			Role: currantloom.ParseRole(m.Role), Term: currantloom.Term(m.Term), GrantedTerm: currantloom.Term(m.Granted),
			Position: mark, PrimarySilence: milliseconds(m.Silence),
		}
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
