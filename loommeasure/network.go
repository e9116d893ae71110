package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

// trafficKind is the purpose of a message, by which the bytes between regions are counted.
type trafficKind uint8

const (
	// trafficStatement is the traffic of requests and responses.
	trafficStatement trafficKind = iota
	// trafficControl is the traffic of polls, position confirmations and promotions.
	trafficControl
	// trafficReplication is the traffic between upstreams, which shares the link but is not the proxy's.
	trafficReplication
	trafficKindCount
)

// Sizes of messages in bytes. Request headers and response trailers are JSON; statements and their rows are small.
const (
	requestSize  = 460
	responseSize = 580
	pollSize     = 60
	statusSize   = 160
)

// network models message delays. Messages between regions queue for the bandwidth of the link.
type network struct {
	busyUntil map[currantloom.Region]time.Duration
	bytes     [trafficKindCount]int64
}

// delay returns the time until a message arrives. A message between regions occupies the link and adds to the bytes of
// its kind.
func (n *network) delay(now time.Duration, from, to currantloom.Location, size int, kind trafficKind) time.Duration {
	switch from.Distance(to) {
	case 0:
		return localLatency
	case 1:
		return crossDomainLatency
	}
	n.bytes[kind] += int64(size)
	start := max(now, n.busyUntil[from.Region()])
	n.busyUntil[from.Region()] = start + time.Duration(size)*time.Second/linkBytesPerSecond
	return n.busyUntil[from.Region()] - now + crossRegionLatency
}
