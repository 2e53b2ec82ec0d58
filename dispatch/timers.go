package dispatch

import (
	"container/heap"
	"time"
)

func (c *Core) after(d time.Duration, f func()) *timer {
	t := &timer{at: c.now + d, f: f}
	heap.Push(&c.timers, t)
	return t
}

// stop drops a timer, so that what is over is not held in memory until its time comes.
func (c *Core) stop(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&c.timers, t.index)
	}
}

// timer is something to do at an instant.
type timer struct {
	at    time.Duration
	f     func()
	index int // in the heap, -1 once out of it
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
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
