package loomhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock measures the time since its start, including the time that the VM was suspended, which the runtime's clock
// leaves out.
type clock struct{ start time.Duration }

func newClock() clock { return clock{start: bootTime()} }

func (c clock) now() time.Duration { return bootTime() - c.start }

// bootTime falls back to the runtime's clock where the kernel's is not available.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
