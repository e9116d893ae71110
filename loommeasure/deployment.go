package loommeasure

import (
	"fmt"
	"time"

	"currantloom.example/currantloom"
)

// deployment describes one of the current deployments.
type deployment struct {
	name             string
	databasePrefix   string
	locations        []currantloom.Location
	nodesPerLocation []int
	slots            int
	connections      int
	connectTime      time.Duration
	clientLatency    time.Duration
}

const (
	databaseCount = 3
	// One-way latencies inside a failure domain, between failure domains of a region and between regions.
	localLatency       = 200 * time.Microsecond
	crossDomainLatency = 500 * time.Microsecond
	crossRegionLatency = 30 * time.Millisecond
	// linkBytesPerSecond is the bandwidth of the link between regions in each direction, 30 Mbit/s.
	linkBytesPerSecond = 30_000_000 / 8
)

func deployments() []deployment {
	return []deployment{
		{
			name: "Rollwerk", databasePrefix: "wheel-core",
			locations: []currantloom.Location{
				currantloom.NewLocation("ost", "ost-linz"), currantloom.NewLocation("ost", "ost-steyr"),
				currantloom.NewLocation("west", "west-ibk"),
			},
			nodesPerLocation: []int{3, 3, 2}, slots: 2, connections: 16, connectTime: 12 * time.Millisecond,
			clientLatency: time.Millisecond,
		},
		{
			name: "Quạt Trần Soft", databasePrefix: "installer-db",
			locations: []currantloom.Location{
				currantloom.NewLocation("south", "south-a"), currantloom.NewLocation("south", "south-b"),
				currantloom.NewLocation("central", "central-a"),
			},
			nodesPerLocation: []int{3, 3, 2}, slots: 3, connections: 45, connectTime: 25 * time.Millisecond,
			clientLatency: 3 * time.Millisecond,
		},
	}
}

// databases returns the databases. Each has an upstream in every failure domain; the first one is the primary. The
// primary of the second database is in the second failure domain, those of the others in the first.
func (d deployment) databases() []currantloom.Database {
	var list []currantloom.Database
	for i := range databaseCount {
		name := fmt.Sprintf("%s-%d", d.databasePrefix, i+1)
		var upstreams []currantloom.PostgresUpstream
		for j, suffix := range []string{"a", "b", "c"} {
			location := d.locations[j]
			if i == 1 && j < 2 {
				location = d.locations[1-j]
			}
			upstreams = append(upstreams, currantloom.NewPostgresUpstream(currantloom.UpstreamName(name+"-"+suffix),
				currantloom.DatabaseName(name), "", location))
		}
		list = append(list,
			currantloom.NewDatabase(currantloom.DatabaseName(name), d.slots, d.connections, upstreams))
	}
	return list
}

// vms returns the VMs that the nodes run on.
func (d deployment) vms() []currantloom.VM {
	var list []currantloom.VM
	for i, location := range d.locations {
		for j := range d.nodesPerLocation[i] {
			name := fmt.Sprintf("%s-vm-%d", location.FailureDomain(), j+1)
			list = append(list, currantloom.NewVM(currantloom.VMName(name), location, "", "", currantloom.VMLive))
		}
	}
	return list
}
