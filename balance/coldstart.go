package balance

import (
	"math"
	"time"
)

// This file holds the limits on the work sent to workers that have started recently.

// isCold reports whether a worker has started so recently that it may not have its full capacity.
func (b *Balancer) isCold(w *worker) bool {
	return w.StartedAt > 0 && b.now-w.StartedAt < b.settings.WarmUp
}

// coldBudgetAllows reports whether a job keeps this dispatcher within its allowance of a cold worker's
// budget in every overload window. Jobs that the worker refused count too. All dispatchers together must
// not overload the worker, and none sees what the others send, so they take turns by the worker's age.
func (b *Balancer) coldBudgetAllows(j *job, w *worker) bool {
	window := b.settings.OverloadWindow
	if !b.isCold(w) || window <= 0 {
		return true
	}
	allowance := b.coldAllowance(w, max(0, b.now-w.StartedAt))
	if allowance <= 0 {
		return false
	}
	for len(w.coldSends) > 0 && w.coldSends[0].at < b.now-window {
		w.coldSends = w.coldSends[1:]
	}
	total := b.expectedWork(j) * b.slowness(w)
	for _, sent := range w.coldSends {
		total += sent.work
	}
	return total <= allowance
}

// coldBudget returns the work, in seconds at the worker, that all dispatchers together may send to a cold
// worker in one overload window. In a small fleet it is 0.7 of the settings' limit, to allow for errors of
// the estimates. In a large fleet the limit includes an allowance for random variation. There, dispatchers
// that do not know of the worker's start yet send too, and a failure is attributed to those that know of it
// only if they sent over two thirds of the work. The budget is two thirds of the limit, less a fifth for
// errors of the estimates.
//
// age is the time since the worker's start, and meanRun the mean run time of a job at the worker, in seconds.
func (b *Balancer) coldBudget(w *worker, age time.Duration, meanRun float64) float64 {
	window, initial := b.settings.OverloadWindow, b.settings.ColdCapacity
	capacity := initial + (1-initial)*float64(max(0, age-window))/float64(b.settings.WarmUp)
	limit := b.settings.OverloadFactor * capacity * b.estimatedSlots(w) * window.Seconds()
	if b.largeFleet {
		return 0.53 * (limit + 2*math.Sqrt(limit*meanRun) + 2*meanRun)
	}
	return 0.7 * limit
}

// coldAllowance returns the part of a cold worker's budget, in one overload window, that this dispatcher
// owns. It is 0 outside this dispatcher's turn, and in the first window after its own start, since it may
// have sent work before a restart that it no longer knows of.
//
// In a small fleet one dispatcher at a time owns the whole budget, for three windows. It sends nothing in
// the first of them, in which the previous owner's work still counts. In a large fleet one dispatcher has too
// few jobs to use the budget, and those that own no part fill the queues of warm workers. There the budget
// is divided into as many parts as can each fit a typical job. The typical job is derived from the
// settings alone, so that all dispatchers compute the same division. All parts but one have an owner. With
// each window one owner is replaced, so a window sees at most one change of owner, which the spare part
// covers.
func (b *Balancer) coldAllowance(w *worker, age time.Duration) float64 {
	window, fleetSize := b.settings.OverloadWindow, uint64(b.settings.FleetSize)
	if b.now-b.firstUpdateAt < window {
		return 0
	}
	turn, owners, parts := 3*window, uint64(1), 1.0
	if b.largeFleet {
		turn = window
		typicalRun := b.initialMeanRun()
		parts = max(2, math.Floor(b.coldBudget(w, age-age%window, typicalRun)/typicalRun))
		parts = min(parts, float64(fleetSize+1)) // further parts would have no owner
		owners = uint64(parts) - 1
	} else if fleetSize > 1 && age >= turn && age%turn < window {
		return 0
	}
	// The owners are consecutive dispatchers, starting with firstOwner.
	firstOwner := (uint64(w.ID) + uint64(age/turn)) % fleetSize
	if (uint64(b.settings.Position)+fleetSize-firstOwner)%fleetSize >= owners {
		return 0
	}
	return b.coldBudget(w, age, b.meanRun()*b.slowness(w)) / parts
}

// ownedColdWorkers returns the cold workers that this dispatcher may send to. It computes them only twice
// per overload window: a release makes hundreds of workers cold, and visiting each for every choice costs
// too much CPU.
func (b *Balancer) ownedColdWorkers() []*worker {
	if b.now < b.nextOwnedCold {
		return b.ownedColdCache
	}
	b.nextOwnedCold = b.now + b.settings.OverloadWindow/2
	b.ownedColdCache = b.ownedColdCache[:0]
	if b.now >= b.coldUntil { // no worker is cold
		return b.ownedColdCache
	}
	for _, w := range b.workers {
		if b.isCold(w) && b.coldAllowance(w, max(0, b.now-w.StartedAt)) > 0 {
			b.ownedColdCache = append(b.ownedColdCache, w)
		}
	}
	return b.ownedColdCache
}
