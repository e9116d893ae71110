package loommeasure

import (
	"fmt"
	"time"

	"currantloom.example/currantloom"
)

// deployment holds the figures of one of the current deployments.
type deployment struct {
	name        string
	database    string
	places      []currantloom.Location
	nodes       []int
	slots       int
	connections int
	openTime    time.Duration
	clientTime  time.Duration
}

const (
	databases = 3
	// localTime and domainTime are the one-way latencies inside a failure domain and between two of a region.
	localTime  = 200 * time.Microsecond
	domainTime = 500 * time.Microsecond
	regionTime = 30 * time.Millisecond
	// linkBytesPerSecond is the bandwidth of the link between regions in each direction, 30 Mbit/s.
	linkBytesPerSecond = 30_000_000 / 8
)

func deployments() []deployment {
	return []deployment{
		{
			name: "Rollwerk", database: "wheel-core",
			places: []currantloom.Location{
				currantloom.NewLocation("ost", "ost-linz"), currantloom.NewLocation("ost", "ost-steyr"),
				currantloom.NewLocation("west", "west-ibk"),
			},
			nodes: []int{3, 3, 2}, slots: 2, connections: 16, openTime: 12 * time.Millisecond,
			clientTime: time.Millisecond,
		},
		{
			name: "Quạt Trần Soft", database: "installer-db",
			places: []currantloom.Location{
				currantloom.NewLocation("south", "south-a"), currantloom.NewLocation("south", "south-b"),
				currantloom.NewLocation("central", "central-a"),
			},
			nodes: []int{3, 3, 2}, slots: 3, connections: 45, openTime: 25 * time.Millisecond,
			clientTime: 3 * time.Millisecond,
		},
	}
}

// databaseList returns the databases: one server in each failure domain, the primary of the second database in the
// second one.
func (d deployment) databaseList() []currantloom.Database {
	var list []currantloom.Database
	for i := range databases {
		name := fmt.Sprintf("%s-%d", d.database, i+1)
		var servers []currantloom.PostgresUpstream
		for j, suffix := range []string{"a", "b", "c"} {
			place := d.places[j]
			if i == 1 && j < 2 {
				place = d.places[1-j]
			}
			servers = append(servers, currantloom.NewPostgresUpstream(currantloom.UpstreamName(name+"-"+suffix),
				currantloom.DatabaseName(name), "", place))
		}
		list = append(list,
			currantloom.NewDatabase(currantloom.DatabaseName(name), d.slots, d.connections, servers))
	}
	return list
}

// vms returns the entry VMs.
func (d deployment) vms() []currantloom.VM {
	var list []currantloom.VM
	for i, place := range d.places {
		for j := range d.nodes[i] {
			name := fmt.Sprintf("%s-vm-%d", place.FailureDomain(), j+1)
			list = append(list, currantloom.NewVM(currantloom.VMName(name), place, "", "", currantloom.VMLive))
		}
	}
	return list
}
