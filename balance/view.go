package balance

import (
	"slices"
	"time"
)

// View is what the policy holds of the regions, for those who watch it.
type View struct {
	Queued  int // jobs that wait for room
	Running int // jobs with an attempt out
	Workers []WorkerView
	// Thresholds are, by the kind of the worker that has a job and the kind of the one that is free,
	// after how many mean runs the job is copied; infinite where it never is.
	CopyThresholds [][]float64
}

// WorkerView is the policy's view of one worker.
type WorkerView struct {
	ID           WorkerID
	Slots        float64       // estimated size
	Used         float64       // slots of own attempts out
	UsedByOthers float64       // slots held by unseen dispatchers, as far as reports show them
	Slowness     float64       // of its speed, against the fleet's mean
	ErrorRate    float64       // smoothed share of errors
	HeldFor      time.Duration // gets no ordinary work for so long, 0 where it does
	Serving      bool
}

// View tells what the policy holds now. It changes nothing.
func (b *Balancer) View(now time.Duration) View {
	v := View{Queued: len(b.queue), Running: len(b.running), Workers: make([]WorkerView, 0, len(b.workers))}
	for _, w := range b.workers {
		if w.State != Gone {
			v.Workers = append(v.Workers, WorkerView{ID: w.ID, Slots: w.slots, Used: w.used, UsedByOthers: w.others, Slowness: w.slowness,
				ErrorRate: w.errors, HeldFor: max(0, w.held-now), Serving: w.State == Serving})
		}
	}
	for i := range b.kinds {
		v.CopyThresholds = append(v.CopyThresholds, slices.Clone(b.kinds[i].limit))
	}
	return v
}
