package dispatch

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"tinroute.example/tinroute/balance"
)

// Clock measures the time since the Unix epoch. It is set from the system clock once and advances
// monotonically from then on. Its times can be compared with workers' start times, which are in Unix
// time, and a step of the system clock never sets it back.
type Clock struct {
	start time.Time
	base  time.Duration
}

// NewClock returns a Clock set from the system clock.
func NewClock() Clock {
	now := time.Now()
	return Clock{start: now, base: time.Duration(now.UnixNano())}
}

// Now returns the time since the Unix epoch.
func (c Clock) Now() time.Duration { return c.base + time.Since(c.start) }

// WorkerIDFromName returns the ID that the balancer uses for the named worker. Dispatchers take turns
// at sending to a cold worker by its ID, so all of them must compute the same one: it depends on the
// name alone, not on the order in which names were first seen.
func WorkerIDFromName(name string) balance.WorkerID {
	if _, suffix, ok := strings.Cut(name, "-"); ok && len(suffix) == 8 {
		if id, err := strconv.ParseUint(suffix, 16, 32); err == nil {
			return balance.WorkerID(id)
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // Write on a hash never fails
	return balance.WorkerID(hash.Sum64() | 1<<63)
}
