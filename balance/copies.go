package balance

import "math"

// This file holds the handling of late starts and the copies of slow jobs.

// checkLateStarts handles attempts whose start is overdue: other dispatchers use the slots, or the
// worker is stalled. An idempotent job is copied to a worker with room. A deduplicated one is cancelled
// to be sent elsewhere. If no other worker has room, the attempt keeps its place in the worker's queue.
func (b *Balancer) checkLateStarts() {
	b.waitingJobs = 0
	for _, a := range b.starting {
		if a.startOverdue && !a.cancelled && a == a.job.newestInFlight() {
			b.waitingJobs++
		}
	}
	minProbability := minOnTimeProbability
	if b.waitingLimit < 1 { // under overload a job that will probably be late blocks more promising ones
		minProbability = likelyOnTime
	}
	for i := 0; i < len(b.starting); i++ {
		a := b.starting[i]
		if a.cancelled || b.now < a.sentAt+b.startTimeout(a) {
			continue
		}
		if !a.startOverdue {
			a.startOverdue = true
			b.recordFull(a.worker)
			b.recordFreeSlot(a, 0)
		}
		b.replaceLateStart(a.job, a)
		// A job without a started attempt that would now be late only delays others in its
		// workers' queues.
		if j := a.job; b.largeFleet && !j.finished && j.class.LateWorth == 0 &&
			b.onTimeProbability(j, 0) < minProbability && !j.hasStarted() {
			b.log("late", "job %d cancelled: it has not started and is unlikely to be in time", j.ID)
			b.answerUnserved(j)
		}
	}
}

// recordFull handles a job that found no free slot. If peers report which slots they use, the worker is
// smaller than estimated. Otherwise other dispatchers use the remaining slots. Only evidence makes those
// count as free again: when they expired after a time, jobs were sent to room that did not exist and moved
// from worker to worker without end.
func (b *Balancer) recordFull(w *worker) {
	switch {
	case b.largeFleet:
		w.setEvidence(noEvidence, 0, b.now)
	case b.settings.AllowPeerMessages:
		b.setSlots(w, min(b.estimatedSlots(w), w.runningSlots+w.peerRunningSlots))
	default:
		w.otherSlots = max(w.otherSlots, b.estimatedSlots(w)-w.runningSlots)
	}
}

// replaceLateStart copies a job whose start is overdue, or cancels the attempt to send the job elsewhere.
func (b *Balancer) replaceLateStart(j *job, a *attempt) {
	if j.finished || j.inFlight > 1 && !b.largeFleet || a != j.newestInFlight() ||
		j.attemptsExhausted(b.settings.MaxAttempts) || !b.settings.AllowCancel {
		return
	}
	switch {
	case j.class.Idempotency == NonIdempotent: // it cannot move, so it keeps its place in the worker's queue
	case j.class.Idempotency == Idempotent && b.settings.AllowCopies:
		b.waitingJobs-- // the job is counted already, so a copy adds none
		first := b.selectWorker(j, false)
		if first == nil || !b.budgetAllowsCopy() {
			return
		}
		b.send(j, first)
		second := b.selectWorker(j, false)
		if second != nil && b.largeFleet && b.budgetAllowsCopy() {
			b.send(j, second)
		}
	case (j.class.Idempotency == Idempotent || b.now < a.sentAt+j.class.DedupWindow/2) &&
		b.roomElsewhere(j, a.worker):
		if !a.cancelled && b.budgetAllowsCopy() {
			j.repeatAdmitted = true
			b.cancelAttempt(j, a)
		}
	}
}

// roomElsewhere reports whether a worker other than from has room for a job that is cancelled there.
func (b *Balancer) roomElsewhere(j *job, from *worker) bool {
	for _, w := range b.workers {
		if w == from || !b.available(w) || !b.hasRoom(j, w) {
			continue
		}
		scope := j.class.DedupScope
		if scope == ScopeFleet || scope == ScopeZone && w.Zone == from.Zone || w.Cell == from.Cell {
			return true
		}
	}
	return false
}

// copyOverdueJob copies the first running job that is past its threshold and reports whether it did.
func (b *Balancer) copyOverdueJob() bool {
	if !b.settings.AllowCopies || !b.settings.AllowCancel {
		return false
	}
	overdue := 0
	var first *job
	var target *worker
	for _, j := range b.running {
		if j.class.Idempotency != Idempotent || j.inFlight != 1 || j.finished || j.streaming {
			continue
		}
		a := j.newestInFlight()
		if a == nil || !a.started {
			continue
		}
		if w := b.copyTarget(j, a); w != nil {
			overdue++
			if first == nil {
				first, target = j, w
			}
		}
	}
	// If most jobs are overdue the cause is common to them, and copies would only take the slots
	// of first attempts.
	if first == nil || len(b.queue) > 0 && 2*overdue > len(b.running) {
		return false
	}
	if !b.budgetAllowsCopy() {
		return false
	}
	b.send(first, target)
	return true
}

// copyTarget returns the worker that a running job should be copied to, or nil.
func (b *Balancer) copyTarget(j *job, a *attempt) *worker {
	elapsed := (b.now - a.startedAt).Seconds() / b.expectedWork(j)
	thresholds := b.kinds[a.worker.Kind].copyThresholds
	lowest := math.Inf(1)
	for _, threshold := range thresholds {
		lowest = min(lowest, threshold)
	}
	stalled := b.settings.ProgressInterval > 0 && b.now-a.eventAt > 5*b.settings.ProgressInterval/2
	if elapsed < lowest && !stalled {
		return nil
	}
	w := b.selectWorker(j, false)
	if w == nil || !stalled && elapsed < thresholds[w.Kind] {
		return nil
	}
	// The progress distinguishes a large job on a healthy worker from a straggler: a job is not copied if
	// it will probably end before its copy.
	if !stalled && a.progress > 0 {
		run := (a.eventAt - a.startedAt).Seconds() / a.progress
		if run*(1-a.progress) < b.expectedWork(j)*b.slowness(w) ||
			j.ExpectedWork <= 0 && 1-a.progress < b.slowness(w)/b.slowness(a.worker) {
			return nil
		}
	}
	return w
}

// budgetAllowsCopy takes a copy from the fleet's budget and reports whether there was one left. Each step
// requests a copy for as long as a job is late, so after a denial the budget is not queried again for a
// quarter of a mean run.
func (b *Balancer) budgetAllowsCopy() bool {
	if b.budget == nil {
		return true
	}
	if b.now < b.copiesDeniedUntil {
		return false
	}
	if !b.budget.AllowRepeat() {
		b.copiesDeniedUntil = b.now + toDuration(b.meanRun()/4)
		return false
	}
	return true
}
