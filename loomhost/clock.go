package loomhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock measures the time since its creation. Unlike the monotonic clock of package time, it includes the time for
// which the VM was suspended.
type clock struct{ start time.Duration }

func newClock() clock { return clock{start: bootTime()} }

func (c clock) now() time.Duration { return bootTime() - c.start }

// bootTime returns the time since the boot of the VM or, if the kernel does not provide it, since the start of the
// process.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
