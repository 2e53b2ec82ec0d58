package dispatch

import "sync/atomic"

// ClassCounts are the final answers of one class since the core began, and its attempts
// that were written whole.
type ClassCounts struct {
	Served, Refused, Failed, AttemptsWritten int64
}

// counts are the core's counters. They are counted where the outcome is decided, once, and
// any goroutine may read them.
type counts struct {
	classes []classCounts
}

type classCounts struct {
	served, refused, failed, written atomic.Int64
}

func (c *counts) of(class int) *classCounts {
	if class < 0 || class >= len(c.classes) {
		return nil
	}
	return &c.classes[class]
}

func (c *counts) answered(class int, v Verdict) {
	k := c.of(class)
	if k == nil {
		return
	}
	switch v {
	case Served:
		k.served.Add(1)
	case Refused:
		k.refused.Add(1)
	default:
		k.failed.Add(1)
	}
}

// Counts returns the counters by class, in the order of the settings.
func (c *Core) Counts() []ClassCounts {
	all := make([]ClassCounts, len(c.counts.classes))
	for i := range c.counts.classes {
		k := &c.counts.classes[i]
		all[i] = ClassCounts{Served: k.served.Load(), Refused: k.refused.Load(), Failed: k.failed.Load(),
			AttemptsWritten: k.written.Load()}
	}
	return all
}

// WorkerCounts are the workers that discovery lists, and of them those that the core avoids
// now: drained, out by hand, or held back by the policy.
type WorkerCounts struct{ Listed, Unavailable int }
