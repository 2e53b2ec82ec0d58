package dispatch

import (
	"container/heap"
	"time"
)

// schedule calls f on the core's goroutine after delay.
func (c *Core) schedule(delay time.Duration, f func()) *timer {
	t := &timer{due: c.now + delay, f: f}
	heap.Push(&c.timers, t)
	return t
}

// stopTimer removes a timer, so that the values it refers to can be freed before it is due.
func (c *Core) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&c.timers, t.index)
	}
}

// timer is a pending call of f at a point in time.
type timer struct {
	due   time.Duration
	f     func()
	index int // in the heap; -1 once removed
}

// timers is a heap ordered by time; it implements heap.Interface.
type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	last.index = -1
	return last
}
