package loommeasure

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"currantloom.example/currantloom"
)

// The design scale of the design page, section 1.4.
const (
	designVMs       = 1200
	designDatabases = 1500
	designRegions   = 6
	designDomains   = 21
	// designStatements is the number of statements per second and node, designClients that of connections to a node.
	designStatements = 533
	designClients    = 4667
)

// rulesLines is the length of the rules file in the measures of changes: one line for two databases.
const rulesLines = 750

// place returns the place of the VM or server with a number. The domains belong to the regions in turn.
func place(number int) currantloom.Location {
	domain := number % designDomains
	return currantloom.NewLocation(
		currantloom.Region(fmt.Sprintf("region-%d", domain%designRegions)),
		currantloom.FailureDomain(fmt.Sprintf("region-%d-domain-%d", domain%designRegions, domain)))
}

// fleetVMs returns a list of VMs over all failure domains.
func fleetVMs(n int) currantloom.VMSet {
	set := currantloom.VMSet{Index: 1}
	for i := range n {
		set.VMs = append(set.VMs, currantloom.NewVM(currantloom.VMName(fmt.Sprintf("loom-vm-%04d", i)), place(i),
			fmt.Sprintf("10.%d.%d.7:5433", i/250, i%250), fmt.Sprintf("10.%d.%d.7:5434", i/250, i%250), currantloom.VMLive))
	}
	return set
}

// fleetDatabases returns databases with two servers in one region and one in another.
func fleetDatabases(n int) []currantloom.Database {
	var list []currantloom.Database
	for i := range n {
		name := currantloom.DatabaseName(fmt.Sprintf("database-%04d", i))
		var servers []currantloom.PostgresUpstream
		for j, at := range []int{i, i + designRegions, i + 1} {
			servers = append(servers, currantloom.NewPostgresUpstream(
				currantloom.UpstreamName(fmt.Sprintf("%s-%c", name, 'a'+j)),
				name, fmt.Sprintf("10.9.%d.%d:5432", i/100, i%100*2+j), place(at)))
		}
		list = append(list, currantloom.NewDatabase(name, 3, 45, servers))
	}
	return list
}

// rulesText returns a rules file; the line of the first database differs from version to version.
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

// heapBytes returns the bytes in use on the heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// retained returns the growth of the heap by what build returns.
func retained(build func() any) float64 {
	before := heapBytes()
	v := build()
	after := heapBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// processorTime returns the processor time of this process, with that of the garbage collector.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// leastTime returns the least processor time of several batches of runs, in microseconds a run. The least one is the
// one that other work on the machine disturbed least.
func leastTime(runs int, run func()) float64 {
	const batches = 5
	least := time.Duration(1<<63 - 1)
	run()
	for range batches {
		runtime.GC()
		start := processorTime()
		for range runs {
			run()
		}
		least = min(least, processorTime()-start)
	}
	return float64(least) / float64(runs) / float64(time.Microsecond)
}
