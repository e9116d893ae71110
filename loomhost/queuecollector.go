package loomhost

import (
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// queueLoadTTL is how long the load of an upstream's queue is reported after its last update. A queue in which jobs
// wait is updated each second.
const queueLoadTTL = 10 * time.Minute

// queueLoad is the load of the queue of one upstream.
type queueLoad struct {
	expectedWait time.Duration
	waitingJobs  int
	updatedAt    time.Time
}

// queueCollector reports the load of the queues of the upstreams. Unlike a gauge of the metrics scope, it drops the
// series of upstreams that are gone. It is safe for concurrent use.
type queueCollector struct {
	expectedWait, waitingJobs *prometheus.Desc

	mu    sync.Mutex
	loads map[string]queueLoad
}

func newQueueCollector() *queueCollector {
	labels := []string{"upstream"}
	return &queueCollector{
		expectedWait: prometheus.NewDesc("currantloom_expected_wait_seconds", "Expected wait of a new job.", labels, nil),
		waitingJobs:  prometheus.NewDesc("currantloom_waiting_jobs", "Jobs that wait for the upstream.", labels, nil),
		loads:        make(map[string]queueLoad),
	}
}

// update records the load of an upstream's queue, and drops the loads that have expired.
func (c *queueCollector) update(upstream string, load queueLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[strings.ToValidUTF8(upstream, "\ufffd")] = load
	c.dropExpired(load.updatedAt)
}

func (c *queueCollector) dropExpired(now time.Time) {
	for upstream, load := range c.loads {
		if now.Sub(load.updatedAt) > queueLoadTTL {
			delete(c.loads, upstream)
		}
	}
}

// Describe sends the descriptions of the metrics.
func (c *queueCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.expectedWait
	out <- c.waitingJobs
}

// Collect sends the current metrics.
func (c *queueCollector) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(time.Now())
	for upstream, load := range c.loads {
		out <- prometheus.MustNewConstMetric(
			c.expectedWait, prometheus.GaugeValue, load.expectedWait.Seconds(), upstream)
		out <- prometheus.MustNewConstMetric(c.waitingJobs, prometheus.GaugeValue, float64(load.waitingJobs), upstream)
	}
}
