package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestKnownLoad guards against reports that arrive late, out of order or from a former owner and replace newer ones.
func TestKnownLoad(t *testing.T) {
	var k knownLoad
	report := func(owner currantloom.VMName, jobs int, run, at time.Duration) {
		l := currantloom.UpstreamLoad{Jobs: jobs}
		l.RunTimes[currantloom.WorkRead] = run
		k.recordReport(owner, 0, l, at)
	}
	k.recordSent(0)
	report("vm-2", 7, 30*time.Millisecond, 3*time.Second)
	report("vm-2", 1, 10*time.Millisecond, 2*time.Second)
	if k.Jobs != 7 || k.at != 3*time.Second || k.sentSince != 0 || k.pending != 1 {
		t.Errorf("after an older report: %+v, want the newer one", k)
	}
	report("vm-2", 2, 0, 4*time.Second)
	if k.Jobs != 2 || k.RunTimes[currantloom.WorkRead] != 30*time.Millisecond {
		t.Errorf("after a report of another kind of work: %+v, want the run time of reads kept", k)
	}
	report("vm-3", 5, 0, time.Second)
	if k.Jobs != 5 || k.RunTimes[currantloom.WorkRead] != 0 || k.owner != "vm-3" {
		t.Errorf("after the report of another owner: %+v, want only its figures", k)
	}
}

// TestReportOfFormerOwner guards against the figures of a VM that no longer owns the upstream: it knows only its own
// queue, which is empty.
func TestReportOfFormerOwner(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadBoundedStaleness)
	u := f.state.catalog.upstreams["b"]
	f.state.recordPongLoad(u, testSelf, currantloom.UpstreamHealth{Load: currantloom.UpstreamLoad{Jobs: 4}}, f.now)
	f.state.recordPongLoad(u, "vm-9", currantloom.UpstreamHealth{}, f.now)
	if u.load.owner != testSelf || u.load.Jobs != 4 {
		t.Errorf("known load %+v, want that of the owner", u.load)
	}
	c := candidate{upstream: u, vm: "vm-9"}
	f.state.setKnowledge(&c)
	if c.known {
		t.Error("the report of the former owner is used for the new one")
	}
}

// TestReportsDuringSuspension guards against answers that piled up while this node was suspended and count as new.
func TestReportsDuringSuspension(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadBoundedStaleness)
	u := f.state.catalog.upstreams["b"]
	c := &call{upstream: u, vm: "vm-2", sentAt: f.now, timeoutAt: f.now + time.Minute}
	f.now += 3 * time.Second
	f.reduce(Tick{Stamp: f.stamp()})
	f.state.recordCallLoad(c, currantloom.CallResult{Load: currantloom.UpstreamLoad{Jobs: 4}})
	if u.load.at != c.sentAt {
		t.Errorf("the report counts as made at %s, want %s", u.load.at, c.sentAt)
	}
	c.sentAt = f.now
	f.state.recordCallLoad(c, currantloom.CallResult{Reason: currantloom.ReasonNoSample})
	if u.load.Jobs != 4 {
		t.Error("an answer of an owner that took no call into its queue counts as a report of an empty queue")
	}
}
