package link

import (
	"time"
)

const (
	// maxBusyTime is how long a connection is handled without a wait for input before it is paused.
	maxBusyTime = time.Millisecond
	// maxMessageBusyTime is how much of the time between two messages counts: a longer one was mostly spent waiting.
	maxMessageBusyTime = 10 * time.Millisecond
	// maxPause is the longest pause. A close by the client may be noticed this much later.
	maxPause = 50 * time.Millisecond
)

// pacing is the state of a connection whose input never ends. Only the reading goroutine uses it.
type pacing struct {
	busy      time.Duration // time spent on the connection since it last waited or was paused
	checkedAt time.Time
	paced     bool // counted in InputLimit.paced
}

// Pace pauses the connection if its messages arrive faster than they are handled, so that all such connections together
// use about half of the processor. Otherwise their goroutines are always ready to run, and events of other connections
// wait for the scheduler's next look at the network, at each step of a request.
func (c *ServerConn) Pace() {
	if c.server.InputLimit == nil {
		return
	}
	now := time.Now()
	c.pacing.busy += min(now.Sub(c.pacing.checkedAt), maxMessageBusyTime)
	c.pacing.checkedAt = now
	if c.pacing.busy < maxBusyTime {
		return
	}
	if !c.pacing.paced {
		c.pacing.paced = true
		c.server.InputLimit.paced.Add(1)
		c.setEndlessSince(now)
	}
	others := time.Duration(c.server.InputLimit.paced.Load() - 1)
	time.Sleep(min(c.pacing.busy*(2*others+1), maxPause))
	c.pacing.busy, c.pacing.checkedAt = 0, time.Now()
}

// resetPace records that the connection has waited for input.
func (c *ServerConn) resetPace() {
	if c.pacing.paced {
		c.server.InputLimit.paced.Add(-1)
		c.setEndlessSince(time.Time{})
	}
	c.pacing = pacing{checkedAt: time.Now()}
}

func (c *ServerConn) setEndlessSince(since time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.endlessSince = since
}

// endless reports whether input has arrived without a pause for so long that a drain does not wait for its end.
// Server.mu is held.
func (c *ServerConn) endless(now time.Time) bool {
	return !c.endlessSince.IsZero() && now.Sub(c.endlessSince) >= partialGrace
}
