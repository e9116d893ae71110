package loomfleet

import (
	"testing"

	"currantloom.example/currantloom"
)

// TestRecordedChange guards against a request for promotion that leaves although the store may lose its record: the
// write that the record rests on has failed, or a later one without an answer takes the service out.
func TestRecordedChange(t *testing.T) {
	services := []currantloom.ServiceName{testService}
	recorded := ChangeRecord{Services: services, Position: testStorePosition(5)}
	for _, test := range []struct {
		name string
		play func(r *changeRecord)
		want bool
	}{
		{"nothing written", func(*changeRecord) {}, false},
		{"no answer", func(r *changeRecord) { r.startWrite(services, 1) }, false},
		{"written", func(r *changeRecord) {
			r.startWrite(services, 1)
			r.observe(recorded)
		}, true},
		{"recorded by an earlier holder", func(r *changeRecord) { r.observe(recorded) }, true},
		{"written without the service since, no answer", func(r *changeRecord) {
			r.observe(recorded)
			r.startWrite(nil, 2)
		}, false},
		{"written again since, no answer", func(r *changeRecord) {
			r.observe(recorded)
			r.startWrite(services, 2)
		}, true},
		{"the store has a later record", func(r *changeRecord) {
			r.observe(recorded)
			r.startWrite(nil, 2)
			r.observe(ChangeRecord{Services: services, Position: testStorePosition(6)})
		}, true},
		{"the store has the earlier record still", func(r *changeRecord) {
			r.observe(recorded)
			r.startWrite(nil, 2)
			r.observe(recorded)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r changeRecord
			test.play(&r)
			if got := r.holds(testService); got != test.want {
				t.Errorf("recorded: %t, want %t", got, test.want)
			}
		})
	}
}

// TestUnrecordedRequest guards against a request for promotion that leaves without a record of the change, and against
// one that waits for the record although the store is down for all.
func TestUnrecordedRequest(t *testing.T) {
	newPausedFailover := func(t *testing.T) (*fixture, *failover) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.state.coordinator.leaseKey.position = testStorePosition(11)
		return f, f.pausedFailover(f.state.groupOf(testService))
	}
	t.Run("the store answers", func(t *testing.T) {
		f, fo := newPausedFailover(t)
		f.state.effects = nil
		f.state.tickPause(fo)
		f.effects = append([]Effect(nil), f.state.effects...)
		if fo.step != stepPause || len(effectsOf[Promote](f)) > 0 {
			t.Errorf("step %s, want to wait for the record", fo.step)
		}
		writes := effectsOf[StoreCommit](f)
		if len(writes) != 1 || len(writes[0].Txn.Changes) != 1 {
			t.Fatalf("writes %+v, want the record of one change", writes)
		}
		f.reduce(StoreAnswered{
			Stamp: f.stamp(), Call: writes[0].Call, Result: StoreSucceeded, Position: testStorePosition(40),
		})
		f.state.tickPause(fo)
		if fo.step != stepPromote {
			t.Errorf("step %s after the change was recorded, want promote", fo.step)
		}
	})
	t.Run("the store is down for all", func(t *testing.T) {
		f, fo := newPausedFailover(t)
		f.reduce(StoreWatchSucceeded{Stamp: f.stamp()})
		f.reduce(StoreWatchFailed{Stamp: f.stamp()})
		f.state.tickPause(fo)
		if fo.step != stepPromote {
			t.Errorf("step %s, want promote", fo.step)
		}
	})
}
