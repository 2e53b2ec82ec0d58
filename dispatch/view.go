package dispatch

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// View is the policy's view of the workers, with the names of up to ViewNames of them.
type View struct {
	balance.View
	Names map[balance.WorkerID]string
}

// MaxViewNames bounds the names in a View: the core makes no long list for one who watches.
const MaxViewNames = 2000

// View asks for the policy's view. It returns false where the core has ended, or is busy for so
// long.
func (c *Core) View(within time.Duration) (View, bool) {
	var v View
	if !c.ask(within, func() {
		v = View{c.balancer.View(c.now), map[balance.WorkerID]string{}}
		for _, w := range v.Workers[:min(len(v.Workers), MaxViewNames)] {
			v.Names[w.ID] = c.members[w.ID].Name
		}
	}) {
		return View{}, false
	}
	return v, true
}

// WorkerCounts asks how many workers discovery lists, and how many of them the core avoids now.
// It returns false where the core has ended, or is busy for so long.
func (c *Core) WorkerCounts(within time.Duration) (WorkerCounts, bool) {
	var h WorkerCounts
	if !c.ask(within, func() {
		h.Listed = len(c.members)
		for _, w := range c.balancer.View(c.now).Workers {
			if _, listed := c.members[w.ID]; listed && (!w.Serving || w.HeldFor > 0) {
				h.Unavailable++
			}
		}
	}) {
		return WorkerCounts{}, false
	}
	return h, true
}

// ask does f on the core's goroutine and waits for it, for so long at most. What f sets may be
// read only where ask returns true: after a time-out f may still run.
func (c *Core) ask(within time.Duration, f func()) bool {
	if c.virtual != nil {
		c.turn(f)
		return true
	}
	done := make(chan struct{})
	limit := time.NewTimer(within)
	defer limit.Stop()
	select {
	case c.events <- func() { f(); close(done) }:
	case <-c.closed:
		return false
	case <-limit.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.closed:
		return false
	case <-limit.C:
		return false
	}
}

// Do runs f on the core's goroutine, between two events, and waits for it; false where the core has
// ended or is busy for longer than doWithin. A Policy that is driven from outside acts in it.
func (c *Core) Do(f func()) bool { return c.ask(doWithin, f) }
