package balance

import (
	"math"
	"time"
)

// coldAllows keeps a cold worker's budget in every window, counting refused work too:
// all dispatchers together must not push the worker over, and none sees what the
// others send. So by the worker's age some of them take turns, each with its part.
func (b *Balancer) coldAllows(j *job, w *worker) bool {
	age := b.now - w.StartedAt
	if !b.isCold(w) || b.s.OverloadWindow <= 0 {
		return true
	}
	part := b.coldPart(w, max(0, age))
	if part <= 0 {
		return false
	}
	for len(w.spent) > 0 && w.spent[0].at < b.now-b.s.OverloadWindow {
		w.spent = w.spent[1:]
	}
	sum := b.sizeOf(j) * b.slow(w)
	for _, s := range w.spent {
		sum += s.cost
	}
	return sum <= part
}

// coldBears is the work, in seconds at the worker, that all dispatchers together may send a
// cold worker in one window. Among few that is 0.7 of what the settings name, against estimates
// that are off. Among many there is the slack for chance that goes with it; but those that have not
// been told of its start send too, and a fall is ours where over two thirds came from the told: we
// keep to that, less a fifth for estimates that are off.
func (b *Balancer) coldBears(w *worker, age time.Duration, mean float64) float64 {
	share := b.s.ColdCapacity + (1-b.s.ColdCapacity)*float64(max(0, age-b.s.OverloadWindow))/float64(b.s.WarmUp)
	n := b.s.OverloadFactor * share * b.estimate(w) * b.s.OverloadWindow.Seconds()
	if b.largeFleet {
		return 0.53 * (n + 2*math.Sqrt(n*mean) + 2*mean)
	}
	return 0.7 * n
}

// coldPart is what this dispatcher may send a cold worker in one window, 0 out of its turn or
// in its own first window: it may have forgotten what it sent.
//
// Among few one dispatcher at a time owns the whole budget, for three windows; in the first of
// them the work of the last owner still counts, so nothing is sent. In a large fleet one sees too
// little to fill it, and those that own none fill the old workers' queues: there, it has as
// many parts as each still fits a usual job, with all sizes as the settings let them be guessed,
// so that all dispatchers count alike. All parts but one have an owner, and with each window one
// owner gives way to the next: a window meets one change at most, and the spare part is for it.
func (b *Balancer) coldPart(w *worker, age time.Duration) float64 {
	span, fleet := b.s.OverloadWindow, uint64(b.s.FleetSize)
	if b.now-b.since < span {
		return 0
	}
	turn, owners, parts := 3*span, uint64(1), 1.0
	if b.largeFleet {
		usual := b.guess()
		turn, parts = span, max(2, math.Floor(b.coldBears(w, age-age%span, usual)/usual))
		parts = min(parts, float64(fleet+1)) // more than there are dispatchers would have no owner
		owners = uint64(parts) - 1
	} else if fleet > 1 && age >= turn && age%turn < span {
		return 0
	}
	first := (uint64(w.ID) + uint64(age/turn)) % fleet
	if (uint64(b.s.Position)+fleet-first)%fleet >= owners {
		return 0
	}
	return b.coldBears(w, age, b.meanRun()*b.slow(w)) / parts
}
