package balance

import (
	"math"
)

// again decides what follows a failed attempt when no other is out.
func (b *Balancer) again(j *job) {
	ran := j.firstRan() != nil // what surely never ran does no work twice
	if j.stream || !b.maySend(j) || ran && !j.paid && b.shares != nil && !b.shares.AllowRepeat() {
		b.answer(j)
		return
	}
	j.paid = false
	b.enqueue(j)
}

// maySend tells whether any worker might still be sent the job.
func (b *Balancer) maySend(j *job) bool {
	if j.spent(b.s.MaxAttempts) || b.now >= j.end-margin {
		return false
	}
	first := j.firstRan()
	if first == nil {
		return true
	}
	switch j.c.Idempotency {
	case NonIdempotent: // the attempt may have had its effect: a repeat could double it
		return false
	case Deduplicated: // past the span the group has forgotten the first effect, also if the connection is late
		return b.now < first.sent+j.c.DedupWindow-margin-b.s.ConnectTimeout
	}
	return true
}

// answer gives the final answer to a job that is not served. A refusal tells the
// client that a repeat is harmless, so it must be.
func (b *Balancer) answer(j *job) {
	if j.over {
		return
	}
	unseen := j.out == 0 && j.firstRan() == nil // no effect so far, and none to come
	if unseen || j.c.Idempotency == Idempotent || j.c.Idempotency == Deduplicated && j.c.DedupScope == ScopeFleet {
		b.host.Refuse(j.ID, min(max(b.comeBack, leastBack), b.s.MaxRetryAfter))
	} else {
		b.host.Fail(j.ID)
	}
	b.finish(j)
}

// fits tells whether the rules and the job's needs allow the worker at all. It is
// also the guard at the only place where sends leave, so that nothing bypasses it.
func (b *Balancer) fits(j *job, w *worker) bool {
	if j.over || w.State != Serving { // a drain is kept from the first word of it
		return false
	}
	if !b.maySend(j) || j.c.WorkerKind >= 0 && j.c.WorkerKind != w.Kind {
		return false
	}
	first := j.earlier
	for _, a := range j.attempts {
		if !a.done && (j.c.Idempotency != Idempotent || !b.s.AllowCopies || a.w == w) {
			return false // a second copy could double an effect
		}
		if first == nil && (a.ran || !a.done) {
			first = a
		}
	}
	if first != nil && j.c.Idempotency == Deduplicated { // only the first runner's group knows the key
		if g := j.c.DedupScope; g == ScopeZone && first.w.Zone != w.Zone ||
			g == ScopeCell && first.w.Cell != w.Cell {
			return false
		}
	}
	return b.coldAllows(j, w)
}

// watchStarts looks for jobs whose start is overdue: unseen dispatchers hold the
// slots, or the worker stands still. A safe one is copied to known room, a keyed
// one withdrawn to be sent again; where none has room its place in the worker's
// queue is kept.
func (b *Balancer) watchStarts() {
	b.stuckJobs = 0
	for _, a := range b.starting {
		if a.stuck && !a.cancelled && a == a.j.newest() {
			b.stuckJobs++
		}
	}
	bar := minChance
	if b.window < 1 { // under overload a likely failure stands in the way of likelier ones
		bar = fair
	}
	for i := 0; i < len(b.starting); i++ {
		a := b.starting[i]
		if a.cancelled || b.now < a.sent+b.startBound(a) {
			continue
		}
		if !a.stuck {
			a.stuck = true
			b.full(a.w)
			b.found(a, 0)
		}
		b.recall(a.j, a)
		// A job that no copy of has begun, and that would now be late, only stands in
		// the way of others in its workers' queues.
		if j := a.j; b.largeFleet && !j.over && j.c.LateWorth == 0 &&
			b.chance(j, 0) < bar && !j.begun() {
			b.log("hopeless", "job %d withdrawn: it can hardly be in time", j.ID)
			b.answer(j)
		}
	}
}

// full takes in that a job found no free slot: where peers tell what they hold, the
// worker is smaller than it was taken for; else unseen dispatchers hold the rest.
// Only evidence frees that again: forgetting it by time made room that was not there,
// and jobs were passed from worker to worker without end.
func (b *Balancer) full(w *worker) {
	switch {
	case b.largeFleet:
		w.sure, w.sureAt, w.sign = 0, b.now, signNone
	case b.s.AllowPeerMessages:
		b.setSlots(w, min(b.estimate(w), w.running+w.peerRunning))
	default:
		w.others = max(w.others, b.estimate(w)-w.running)
	}
}

func (b *Balancer) recall(j *job, a *attempt) {
	if j.over || j.out > 1 && !b.largeFleet || a != j.newest() ||
		j.spent(b.s.MaxAttempts) || !b.s.AllowCancel {
		return
	}
	switch {
	case j.c.Idempotency == NonIdempotent: // its place in the queue is all it can have
	case j.c.Idempotency == Idempotent && b.s.AllowCopies:
		b.stuckJobs-- // it waits already
		if w := b.pick(j, false); w != nil && b.mayCopy() {
			b.send(j, w)
			if w := b.pick(j, false); w != nil && b.largeFleet && b.mayCopy() {
				b.send(j, w)
			}
		}
	case (j.c.Idempotency == Idempotent || b.now < a.sent+j.c.DedupWindow/2) && b.otherRoom(j, a.w):
		if !a.cancelled && b.mayCopy() {
			j.paid = true
			b.cancel(j, a)
		}
	}
}

// otherRoom tells whether a worker that may be sent a withdrawn job has room.
func (b *Balancer) otherRoom(j *job, from *worker) bool {
	for _, w := range b.workers {
		if w == from || !b.open(w) || !b.free(j, w) {
			continue
		}
		if j.c.DedupScope == ScopeFleet || j.c.DedupScope == ScopeZone && w.Zone == from.Zone || w.Cell == from.Cell {
			return true
		}
	}
	return false
}

// copyOverdue copies one running job that is past its threshold, if any.
func (b *Balancer) copyOverdue() bool {
	if !b.s.AllowCopies || !b.s.AllowCancel {
		return false
	}
	overdue := 0
	var late *job
	var to *worker
	for _, j := range b.running {
		if j.c.Idempotency != Idempotent || j.out != 1 || j.over || j.stream {
			continue
		}
		a := j.newest()
		if a == nil || !a.started {
			continue
		}
		if w := b.copyTo(j, a); w != nil {
			overdue++
			if late == nil {
				late, to = j, w
			}
		}
	}
	// When most are overdue the cause is common, and copies would only take the
	// room of first attempts.
	if late == nil || len(b.queue) > 0 && 2*overdue > len(b.running) {
		return false
	}
	if !b.mayCopy() {
		return false
	}
	b.send(late, to)
	return true
}

// copyTo returns the worker with room that a running job should be copied to.
func (b *Balancer) copyTo(j *job, a *attempt) *worker {
	elapsed := (b.now - a.begun).Seconds() / b.sizeOf(j)
	least := math.Inf(1)
	for _, l := range b.kinds[a.w.Kind].limit {
		least = min(least, l)
	}
	stalled := b.s.ProgressInterval > 0 && b.now-a.noted > 5*b.s.ProgressInterval/2
	if elapsed < least && !stalled {
		return nil
	}
	w := b.pick(j, false)
	if w == nil || !stalled && elapsed < b.kinds[a.w.Kind].limit[w.Kind] {
		return nil
	}
	// Progress tells a big job on a sound worker from a straggler.
	if !stalled && a.share > 0 {
		run := (a.noted - a.begun).Seconds() / a.share
		if run*(1-a.share) < b.sizeOf(j)*b.slow(w) || j.ExpectedWork <= 0 && 1-a.share < b.slow(w)/b.slow(a.w) {
			return nil
		}
	}
	return w
}
