package loomfleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestOutnumbered guards against a holder of the failover lease and nodes without a store that both act: for any number
// of nodes that do not answer the holder, it takes itself for outnumbered if they find that most nodes answer them.
func TestOutnumbered(t *testing.T) {
	for silent := range 7 {
		for answering := range 7 {
			t.Run(fmt.Sprintf("%d silent, %d answer", silent, answering), func(t *testing.T) {
				f := newFixture(t)
				f.now = time.Second
				f.configure(currantloom.ReadLatest)
				for i := range silent + answering {
					f.addMember(currantloom.VMName(fmt.Sprintf("vm-%d", i+2)))
				}
				f.wait(pingInterval)
				f.answerPings()
				for i, m := range f.state.members.sorted {
					if i < silent {
						f.state.suspect(m, "test")
					}
				}
				othersAnswering, othersSilent := silent-1, answering+1
				leaderless := othersAnswering > othersSilent
				if got := f.state.isOutnumbered(); got != leaderless {
					t.Errorf("outnumbered: %t, want %t", got, leaderless)
				}
			})
		}
	}
}

// TestNewcomersDoNotOutnumber guards against a holder that counts nodes on its side which the silent ones do not know.
func TestNewcomersDoNotOutnumber(t *testing.T) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	for _, name := range []currantloom.VMName{"vm-2", "vm-3", "vm-4"} {
		f.addMember(name)
	}
	f.wait(pingInterval)
	f.answerPings()
	silent := slices.Clone(f.state.members.sorted)
	silentSince := f.now
	f.wait(pingInterval)
	f.addMember("vm-5")
	f.addMember("vm-6")
	for _, m := range silent {
		m.heardAt = silentSince
		f.state.suspect(m, "test")
	}
	if !f.state.isOutnumbered() {
		t.Error("three silent nodes that know only this one do not outnumber it, want that they do")
	}
}
