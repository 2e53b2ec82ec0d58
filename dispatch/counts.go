package dispatch

import "sync/atomic"

// ClassCounts counts the final answers of one class since the core was created, and the attempts
// that were completely written to a worker.
type ClassCounts struct {
	Served, Refused, Failed, AttemptsWritten int64
}

// counts holds the counters of a core. Each final answer is counted once, where it is decided. Any
// goroutine may read the counters.
type counts struct {
	classes []classCounts
}

type classCounts struct {
	served, refused, failed, written atomic.Int64
}

// forClass returns the counters of a class, or nil for an unknown class.
func (c *counts) forClass(class int) *classCounts {
	if class < 0 || class >= len(c.classes) {
		return nil
	}
	return &c.classes[class]
}

// add counts a final answer.
func (c *counts) add(class int, verdict Verdict) {
	counters := c.forClass(class)
	if counters == nil {
		return
	}
	switch verdict {
	case Served:
		counters.served.Add(1)
	case Refused:
		counters.refused.Add(1)
	default:
		counters.failed.Add(1)
	}
}

// Counts returns the counters of each class, in the order of the settings.
func (c *Core) Counts() []ClassCounts {
	all := make([]ClassCounts, len(c.counts.classes))
	for i := range c.counts.classes {
		counters := &c.counts.classes[i]
		all[i] = ClassCounts{Served: counters.served.Load(), Refused: counters.refused.Load(), Failed: counters.failed.Load(),
			AttemptsWritten: counters.written.Load()}
	}
	return all
}

// WorkerCounts counts the workers that discovery lists, and those among them that the core avoids at
// present: draining, detached by an operator, or held back by the policy.
type WorkerCounts struct{ Listed, Unavailable int }
