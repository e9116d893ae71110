package loommeasure

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"currantloom.example/currantloom"
)

// The design scale of docs/design.md, section 1.4.
const (
	designVMs            = 1200
	designDatabases      = 1500
	designRegions        = 6
	designFailureDomains = 21
	// Statements per second and client connections of one node.
	designStatementsPerSecond = 533
	designClientConnections   = 4667
)

// rulesLineCount is the number of lines of the rules file in the measures of rules changes: one line for two databases.
const rulesLineCount = 750

// locationOf returns the location of the VM or upstream with a number. The failure domains are assigned to the regions
// in turn.
func locationOf(number int) currantloom.Location {
	domain := number % designFailureDomains
	return currantloom.NewLocation(
		currantloom.Region(fmt.Sprintf("region-%d", domain%designRegions)),
		currantloom.FailureDomain(fmt.Sprintf("region-%d-domain-%d", domain%designRegions, domain)))
}

// fleetVMs returns a list of n VMs, distributed over the failure domains in turn.
func fleetVMs(n int) currantloom.VMSet {
	set := currantloom.VMSet{Index: 1}
	for i := range n {
		set.VMs = append(set.VMs, currantloom.NewVM(currantloom.VMName(fmt.Sprintf("loom-vm-%04d", i)), locationOf(i),
			fmt.Sprintf("10.%d.%d.7:5433", i/250, i%250), fmt.Sprintf("10.%d.%d.7:5434", i/250, i%250), currantloom.VMLive))
	}
	return set
}

// fleetDatabases returns n databases of three upstreams. Most of them have two upstreams in one region and one in
// another. Where the numbers of the failure domains wrap around, the three upstreams are in three regions.
func fleetDatabases(n int) []currantloom.Database {
	var list []currantloom.Database
	for i := range n {
		name := currantloom.DatabaseName(fmt.Sprintf("database-%04d", i))
		var upstreams []currantloom.PostgresUpstream
		for j, number := range []int{i, i + designRegions, i + 1} {
			upstreams = append(upstreams, currantloom.NewPostgresUpstream(
				currantloom.UpstreamName(fmt.Sprintf("%s-%c", name, 'a'+j)),
				name, fmt.Sprintf("10.9.%d.%d:5432", i/100, i%100*2+j), locationOf(number)))
		}
		list = append(list, currantloom.NewDatabase(name, 3, 45, upstreams))
	}
	return list
}

// rulesText returns a rules file. Versions differ in the line of the first database.
func rulesText(lines, version int) string {
	var b strings.Builder
	for i := range lines {
		age := 5
		if i == 0 {
			age += version
		}
		fmt.Fprintf(&b, "read database-%04d caller caller-%03d max-age %ds # asked for by the operators of caller-%03d\n",
			i, i%100, age, i%100)
	}
	return b.String()
}

// heapBytes returns the bytes in use on the heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapGrowth returns how many bytes the heap grows when build runs and its result is kept.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	v := build()
	after := heapBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// cpuTime returns the processor time that this process has used, including that of the garbage collector.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minCPUTime returns the processor time of one run in microseconds. It runs several batches and takes the one with the
// least time, which other work on the machine disturbed least.
func minCPUTime(runs int, run func()) float64 {
	const batches = 5
	shortest := time.Duration(1<<63 - 1)
	run()
	for range batches {
		runtime.GC()
		start := cpuTime()
		for range runs {
			run()
		}
		shortest = min(shortest, cpuTime()-start)
	}
	return float64(shortest) / float64(runs) / float64(time.Microsecond)
}
