package gearman

import (
	"strconv"
)

func (c *client) status(handle string) {
	c.mu.Lock()
	known, running, share := "0", "0", 0.0
	e := c.book.ByHandle(handle)
	if e != nil {
		if known, share = "1", e.Progress; e.Running {
			running = "1"
		}
	}
	c.mu.Unlock()
	if e == nil && c.keeper != nil {
		if o, err := c.keeper.Store().Handle(handle); err == nil && o.State.Dead == "" {
			known = "1"
		}
	}
	c.send(Response(StatusRes, handle, known, running, percent(share), "100"))
}

func (c *client) statusUnique(unique string) {
	c.mu.Lock()
	known, running, share, waiting := "0", "0", 0.0, 0
	e := c.book.ByUniqueID(unique)
	if e != nil {
		if known, share, waiting = "1", e.Progress, e.WaitingSubmissions; e.Running {
			running = "1"
		}
	}
	c.mu.Unlock()
	if e == nil && c.keeper != nil {
		for function := range c.file.Functions {
			if o, err := c.keeper.Store().Unique(function, unique); err == nil && o.State.Dead == "" {
				known = "1"
			}
		}
	}
	c.send(Response(StatusResUnique, unique, known, running, percent(share), "100", strconv.Itoa(waiting)))
}

func percent(share float64) string { return strconv.Itoa(int(100 * min(max(share, 0), 1))) }
