package dispatch

import (
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"tinroute.example/tinroute/balance"
)

// Clock tells the time since the Unix epoch. It is set once by the system's clock and
// read monotonically from then on, so that starts told in Unix time can be compared with
// it and a step of the system's clock can never turn it back.
type Clock struct {
	start time.Time
	base  time.Duration
}

// NewClock returns a clock set by the system's.
func NewClock() Clock {
	now := time.Now()
	return Clock{start: now, base: time.Duration(now.UnixNano())}
}

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration { return c.base + time.Since(c.start) }

// WorkerIDFromName maps a worker's name to the number that the balancer knows it by. Dispatchers
// take turns at a cold worker by that number, so it must be the same at each of them: it
// follows from the name alone, never from the order in which names were met.
func WorkerIDFromName(name string) balance.WorkerID {
	if _, tail, ok := strings.Cut(name, "-"); ok && len(tail) == 8 {
		if x, err := strconv.ParseUint(tail, 16, 32); err == nil {
			return balance.WorkerID(x)
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes every byte
	return balance.WorkerID(h.Sum64() | 1<<63)
}
