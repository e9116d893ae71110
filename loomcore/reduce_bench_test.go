package loomcore

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// benchLocation spreads VMs and databases over the 21 failure domains in 6 regions of the design scale.
func benchLocation(i int) currantloom.Location {
	domain := i % 21
	return currantloom.NewLocation(
		currantloom.Region(fmt.Sprintf("region-%d", domain%6)), currantloom.FailureDomain(fmt.Sprintf("domain-%d", domain)))
}

// benchState returns node vm-0, which knows the primary of the first database and owns some of the upstreams.
func benchState(databases, vms int) (*State, Stamp) {
	config := Config{Self: "vm-0", Location: benchLocation(0)}
	for i := range databases {
		name := fmt.Sprintf("wheel-%d", i)
		var upstreams []currantloom.PostgresUpstream
		for _, suffix := range []string{"-a", "-b", "-c"} {
			upstream := currantloom.UpstreamName(name + suffix)
			upstreams = append(upstreams,
				currantloom.NewPostgresUpstream(upstream, currantloom.DatabaseName(name), "", benchLocation(i)))
		}
		config.Databases = append(config.Databases,
			currantloom.NewDatabase(currantloom.DatabaseName(name), 16, 100, upstreams))
	}
	s := New(config)
	var set currantloom.VMSet
	for i := range vms {
		name := currantloom.VMName(fmt.Sprintf("vm-%d", i))
		set.VMs = append(set.VMs, currantloom.NewVM(name, benchLocation(i), "", "", currantloom.VMLive))
	}
	stamp := Stamp{Now: time.Second}
	s.Reduce(VMsReceived{Stamp: stamp, Set: set})
	s.ensureView(s.groups["wheel-0"])
	for _, upstream := range s.groups["wheel-0"].database.Upstreams() {
		role := currantloom.RoleReplica
		if upstream.Name() == "wheel-0-a" {
			role = currantloom.RolePrimary
		}
		s.Reduce(StatusReceived{
			Stamp: stamp, Upstream: upstream.Name(), SentAt: stamp.Now, Status: statusOf(role, 1, 1, 100),
		})
	}
	return s, stamp
}

// reduced returns the first effect of type E that the event causes.
func reduced[E Effect](b *testing.B, s *State, event Event) (found E) {
	for _, f := range s.Reduce(event) {
		if e, ok := f.(E); ok {
			return e
		}
	}
	b.Errorf("%T caused %v", event, s.effects)
	return found
}

// benchSizes are the numbers of databases and VMs: a current deployment and the design scale.
var benchSizes = []struct{ databases, vms int }{{3, 9}, {1500, 1200}}

// BenchmarkReduceRequest measures a request at its entry node, from RequestArrived to Respond.
func BenchmarkReduceRequest(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d-databases-%d-vms", size.databases, size.vms), func(b *testing.B) {
			s, stamp := benchState(size.databases, size.vms)
			b.ReportAllocs()
			for number := uint64(1); b.Loop(); number++ {
				key := currantloom.RequestKey{VM: "vm-0", Number: number}
				forward := reduced[Forward](b, s, RequestArrived{Stamp: stamp, Request: currantloom.Request{
					Key: key, Organisation: "steyr", Database: "wheel-0", Kind: currantloom.ReadRequest,
					Statement: "SELECT n FROM orders WHERE id = 'a'",
				}})
				reduced[Respond](b, s, ForwardFinished{
					Stamp: stamp, Key: key, Attempt: forward.Attempt, Sent: true, Trailer: currantloom.ResponseTrailer{
						Verdict: currantloom.Ran, UpstreamAnswered: true, ResponseStarted: true,
						TransactionStatus: currantloom.TransactionIdle, Term: 1, Primary: "wheel-0-a",
					},
				})
			}
		})
	}
}

// BenchmarkReduceAttempt measures a read at the owner of the primary, from AttemptArrived to Complete.
func BenchmarkReduceAttempt(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d-databases-%d-vms", size.databases, size.vms), func(b *testing.B) {
			s, stamp := benchState(size.databases, size.vms)
			result := currantloom.PostgresResult{
				Verdict: currantloom.Ran, ResponseStarted: true, TransactionStatus: currantloom.TransactionIdle, Term: 1,
				Position: currantloom.NewLogPosition(1, 100), ConfirmedCopies: 2,
			}
			b.ReportAllocs()
			for number := uint64(1); b.Loop(); number++ {
				key := currantloom.RequestKey{VM: "vm-0", Number: number}
				reduced[Run](b, s, AttemptArrived{Stamp: stamp, Header: currantloom.RequestHeader{
					Key: key, Upstream: "wheel-0-a", Organisation: "steyr", Database: "wheel-0", Kind: currantloom.ReadRequest,
					Statement: "SELECT n FROM orders WHERE id = 'a'", Remaining: 10 * time.Second,
				}})
				reduced[Acknowledge](b, s, RunAnswered{Stamp: stamp, Key: key, Result: result})
				reduced[Complete](b, s, RunFinished{Stamp: stamp, Key: key, Result: result})
			}
		})
	}
}
