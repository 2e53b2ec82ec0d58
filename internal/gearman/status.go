package gearman

import (
	"strconv"
)

// sendStatus answers GET_STATUS.
func (c *client) sendStatus(handle string) {
	c.mu.Lock()
	known, running, share := "0", "0", 0.0
	entry := c.index.ByHandle(handle)
	if entry != nil {
		if known, share = "1", entry.Progress; entry.Running {
			running = "1"
		}
	}
	c.mu.Unlock()
	if entry == nil && c.scheduler() != nil {
		if stored, err := c.scheduler().Store().ByHandle(handle); err == nil && stored.State.DeadReason == "" {
			known = "1"
		}
	}
	c.send(Response(StatusRes, handle, known, running, percent(share), "100"))
}

// sendStatusUnique answers GET_STATUS_UNIQUE.
func (c *client) sendStatusUnique(unique string) {
	c.mu.Lock()
	known, running, share, waiting := "0", "0", 0.0, 0
	entry := c.index.ByUniqueID(unique)
	if entry != nil {
		if known, share, waiting = "1", entry.Progress, entry.WaitingSubmissions; entry.Running {
			running = "1"
		}
	}
	c.mu.Unlock()
	if entry == nil && c.scheduler() != nil {
		for function := range c.config.Functions {
			if stored, err := c.scheduler().Store().ByUniqueID(function, unique); err == nil && stored.State.DeadReason == "" {
				known = "1"
			}
		}
	}
	c.send(Response(StatusResUnique, unique, known, running, percent(share), "100", strconv.Itoa(waiting)))
}

func percent(share float64) string { return strconv.Itoa(int(100 * min(max(share, 0), 1))) }
