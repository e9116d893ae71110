package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestStoreProbedWhileHolderIsSilent guards against commits that wait until the watch notices an outage of the store,
// because the holder of the failover lease died at the same time.
func TestStoreProbedWhileHolderIsSilent(t *testing.T) {
	f := newFixture(t)
	f.now = time.Minute
	f.configure(currantloom.ReadLatest)
	f.state.grant = heardGrant{position: testStorePosition(11), askedAt: f.now}
	f.wait(suspectAfter - TickInterval)
	if probes := effectsOf[ProbeStore](f); len(probes) > 0 {
		t.Errorf("%d calls while the holder may answer", len(probes))
	}
	f.wait(storeProbeInterval)
	if probes := effectsOf[ProbeStore](f); len(probes) != 1 {
		t.Errorf("%d calls within %s, want one", len(probes), storeProbeInterval)
	}
	f.wait(maxProbedSilence)
	f.wait(time.Minute)
	if probes := effectsOf[ProbeStore](f); len(probes) > 0 {
		t.Errorf("%d calls after %s", len(probes), maxProbedSilence)
	}
}
