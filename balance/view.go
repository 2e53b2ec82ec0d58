package balance

import (
	"slices"
	"time"
)

// View is a snapshot of the policy's state, for monitoring.
type View struct {
	Queued  int // queued jobs
	Running int // jobs with an attempt in flight
	Workers []WorkerView
	// CopyThresholds are indexed by the kind of the worker that runs a job and the kind of a free
	// worker. A job is copied after that many times its expected work; never, if the value is infinite.
	CopyThresholds [][]float64
}

// WorkerView is a snapshot of the policy's state of one worker.
type WorkerView struct {
	ID           WorkerID
	Slots        float64       // observed size, 0 before any observation
	Used         float64       // slots of this dispatcher's attempts
	UsedByOthers float64       // slots of other dispatchers, as far as load reports show them
	Slowness     float64       // run time relative to the fleet's mean
	ErrorRate    float64       // smoothed error rate
	HeldFor      time.Duration // time until it gets ordinary jobs again, 0 if it is not held back
	Serving      bool
}

// View returns a snapshot of the policy's state. It changes nothing.
func (b *Balancer) View(now time.Duration) View {
	v := View{Queued: len(b.queue), Running: len(b.running), Workers: make([]WorkerView, 0, len(b.workers))}
	for _, w := range b.workers {
		if w.State == Gone {
			continue
		}
		v.Workers = append(v.Workers, WorkerView{
			ID:           w.ID,
			Slots:        w.slots,
			Used:         w.usedSlots,
			UsedByOthers: w.otherSlots,
			Slowness:     w.lastSlowness,
			ErrorRate:    w.errorRate,
			HeldFor:      max(0, w.heldUntil-now),
			Serving:      w.State == Serving,
		})
	}
	for i := range b.kinds {
		v.CopyThresholds = append(v.CopyThresholds, slices.Clone(b.kinds[i].copyThresholds))
	}
	return v
}
