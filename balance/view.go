package balance

import (
	"slices"
	"time"
)

// View is what the policy holds of the regions, for those who watch it.
type View struct {
	Queue   int // jobs that wait for room
	Running int // jobs with an attempt out
	Workers []WorkerView
	// Thresholds are, by the kind of the worker that has a job and the kind of the one that is free,
	// after how many mean runs the job is copied; infinite where it never is.
	Thresholds [][]float64
}

// WorkerView is the policy's view of one worker.
type WorkerView struct {
	ID       WorkerID
	Slots    float64       // estimated size
	Used     float64       // slots of own attempts out
	Others   float64       // slots held by unseen dispatchers, as far as reports show them
	Slowness float64       // of its speed, against the fleet's mean
	Errors   float64       // smoothed share of errors
	Held     time.Duration // gets no ordinary work for so long, 0 where it does
	Serving  bool
}

// View tells what the policy holds now. It changes nothing.
func (b *Balancer) View(now time.Duration) View {
	v := View{Queue: len(b.queue), Running: len(b.running), Workers: make([]WorkerView, 0, len(b.workers))}
	for _, w := range b.workers {
		if w.Condition != Gone {
			v.Workers = append(v.Workers, WorkerView{ID: w.ID, Slots: w.slots, Used: w.used, Others: w.others, Slowness: w.slowness,
				Errors: w.errors, Held: max(0, w.held-now), Serving: w.Condition == Serving})
		}
	}
	for i := range b.kinds {
		v.Thresholds = append(v.Thresholds, slices.Clone(b.kinds[i].limit))
	}
	return v
}
