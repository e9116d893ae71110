package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestStartupWithoutConfiguration guards against a node that tells clients that their database does not exist, because
// it has started before it could read the configuration.
func TestStartupWithoutConfiguration(t *testing.T) {
	t.Run("answered once the configuration is known", func(t *testing.T) {
		f := newFixture(t)
		f.openSession(1)
		if got := f.answersTo(1); len(got) != 0 {
			t.Fatalf("answered without a configuration: %+v", got)
		}
		f.configure(currantloom.ReadLatest)
		f.assertAnswer(1, currantloom.CodeOK)
	})
	t.Run("refused with the time to come back", func(t *testing.T) {
		f := newFixture(t)
		f.openSession(1)
		f.wait(startupPatience + 2*TickInterval)
		f.assertAnswer(1, currantloom.CodeBusy)
	})
	t.Run("unknown database", func(t *testing.T) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.reduce(SessionOpened{Stamp: f.stamp(), Session: 1, Database: "other"})
		f.assertAnswer(1, currantloom.CodeNoDatabase)
	})
}

// TestStatementOfClosedSession guards against a statement that gets no answer, because its session was closed while it
// was on its way from the connection to the reducer.
func TestStatementOfClosedSession(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.openSession(1)
	f.reduce(StopRequested{Stamp: f.stamp()})
	f.wait(balancerDelay + 2*time.Second)
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: "s1", Kind: currantloom.StatementRead, Text: "READ 1",
	}})
	f.assertAnswer(1, currantloom.CodeBusy)
}
