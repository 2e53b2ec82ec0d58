//go:build !linux

package fleet

import "time"

var processStart = time.Now()

// Clock returns a monotonic time that may stop while the machine is suspended. A machine that suspends must
// not be a member of a fleet.
func Clock() time.Duration { return time.Since(processStart) }
