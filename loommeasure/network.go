package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

// traffic says what a message belongs to.
type traffic uint8

const (
	// trafficStatement: requests, responses and questions about their marks.
	trafficStatement traffic = iota
	// trafficControl: polls and promotion.
	trafficControl
	// trafficReplication: between the database servers; it shares the link but is not ours.
	trafficReplication
	trafficKinds
)

// Sizes of messages in bytes. A header and a trailer are JSON; a statement and its rows are small.
const (
	requestSize  = 460
	responseSize = 580
	pollSize     = 60
	reportSize   = 160
)

// network carries messages; those between regions queue for the bandwidth of the link.
type network struct {
	busyUntil map[currantloom.Region]time.Duration
	bytes     [trafficKinds]int64
}

// delay returns how long a message takes, and accounts for it on the link between regions.
func (n *network) delay(now time.Duration, from, to currantloom.Location, size int, kind traffic) time.Duration {
	switch from.Distance(to) {
	case 0:
		return localTime
	case 1:
		return domainTime
	}
	n.bytes[kind] += int64(size)
	start := max(now, n.busyUntil[from.Region()])
	n.busyUntil[from.Region()] = start + time.Duration(size)*time.Second/linkBytesPerSecond
	return n.busyUntil[from.Region()] - now + regionTime
}
