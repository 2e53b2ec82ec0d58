package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a monotonic time that includes time spent suspended. Go's own monotonic clock stops while the
// machine is suspended, so a lease measured by it would last too long.
func Clock() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(1<<63 - 1) // without a clock no lease is valid
	}
	return time.Duration(ts.Nano())
}
