package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts on while the machine is suspended, and does not step when the wall clock is set: Go's own
// monotonic clock stands still in a suspend, and a lease would outlive it.
func Clock() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(1<<63 - 1) // no clock: no lease is good
	}
	return time.Duration(ts.Nano())
}
