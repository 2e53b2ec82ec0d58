package dispatch

import (
	"time"

	"tinroute.example/tinroute/balance"
)

// View is the policy's view of the workers, with the names of up to MaxViewNames of them.
type View struct {
	balance.View
	Names map[balance.WorkerID]string
}

// MaxViewNames limits the number of names in a View, which is built on the core's goroutine and must
// not delay requests.
const MaxViewNames = 2000

// View returns the policy's view. It returns false if the core has stopped or does not respond
// within the given time.
func (c *Core) View(timeout time.Duration) (View, bool) {
	var view View
	if !c.call(timeout, func() {
		view = View{c.balancer.View(c.now), map[balance.WorkerID]string{}}
		for _, worker := range view.Workers[:min(len(view.Workers), MaxViewNames)] {
			view.Names[worker.ID] = c.members[worker.ID].Name
		}
	}) {
		return View{}, false
	}
	return view, true
}

// WorkerCounts counts the workers that discovery lists and those that the core avoids at present. It
// returns false if the core has stopped or does not respond within the given time.
func (c *Core) WorkerCounts(timeout time.Duration) (WorkerCounts, bool) {
	var counts WorkerCounts
	if !c.call(timeout, func() {
		counts.Listed = len(c.members)
		for _, worker := range c.balancer.View(c.now).Workers {
			if _, listed := c.members[worker.ID]; listed && (!worker.Serving || worker.HeldFor > 0) {
				counts.Unavailable++
			}
		}
	}) {
		return WorkerCounts{}, false
	}
	return counts, true
}

// call runs f on the core's goroutine and waits for it, at most for the given time. The variables that
// f sets may be read only if call returns true: after a timeout f may still run.
func (c *Core) call(timeout time.Duration, f func()) bool {
	if c.virtualClock != nil {
		c.handle(f)
		return true
	}
	done := make(chan struct{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c.events <- func() { f(); close(done) }:
	case <-c.stopped:
		return false
	case <-timer.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.stopped:
		return false
	case <-timer.C:
		return false
	}
}

// Do runs f on the core's goroutine, between two events, and waits for it. It returns false if the
// core has stopped or does not respond within doTimeout. A Policy that is controlled from another
// goroutine uses it to act on the core.
func (c *Core) Do(f func()) bool { return c.call(doTimeout, f) }
