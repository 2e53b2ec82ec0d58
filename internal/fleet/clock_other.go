//go:build !linux

package fleet

import "time"

var started = time.Now()

// Clock may stand still in a suspend here: a machine that suspends must not be a member.
func Clock() time.Duration { return time.Since(started) }
