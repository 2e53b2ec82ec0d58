package balance

import (
	"math"
	"slices"
)

// This file holds the choice of a worker for a job.

// available reports whether a worker may get ordinary jobs: it is serving and not held back.
func (b *Balancer) available(w *worker) bool {
	return w.State == Serving && (b.now >= w.heldUntil || b.commonCause)
}

// detectCommonCause checks whether more than three quarters of the workers are held back. Then the cause
// is probably common to all, and jobs are sent as if no worker were held back.
func (b *Balancer) detectCommonCause() {
	b.commonCause = false
	if b.now >= b.lastHoldEnd {
		return
	}
	held, serving := 0, 0
	for _, w := range b.workers {
		if w.State == Serving {
			serving++
			if b.now < w.heldUntil {
				held++
			}
		}
	}
	// With three workers or fewer, separate causes are as likely.
	b.commonCause = serving > 3 && 4*held > 3*serving
}

// hasRoom reports whether a worker is expected to have room for a job. In a large fleet, where most slots
// are used by dispatchers that this one cannot see, it needs recent evidence of a free slot.
func (b *Balancer) hasRoom(j *job, w *worker) bool {
	// A worker has one unit of memory for each slot.
	if b.settings.TracksMemory && b.estimatedSlots(w)-w.usedMemory-w.otherMemory < j.Memory {
		return false
	}
	if !b.largeFleet {
		return b.freeSlots(w) >= j.Slots
	}
	if b.estimatedSlots(w)-w.usedSlots < j.Slots {
		return false
	}
	// Once the workers or dispatchers that were asked have had time to answer, a job may also be sent
	// without evidence, as long as few jobs wait in workers' queues.
	if b.waitingJobs < b.waitingLimit && b.now >= j.waitForEvidenceUntil {
		return true
	}
	// In its turn at a cold worker, this dispatcher is the only one that sends there.
	if b.isCold(w) {
		return true
	}
	return w.evidence != noEvidence && b.freeSlotProbability(w) >= 0.5
}

// candidates returns the workers to choose from. In a small fleet these are all workers. In a large fleet
// they are the cold workers that this dispatcher owns, those with recent evidence of a free slot and a
// random sample. The sample keeps dispatchers with the same information from making the same choice, and
// the cost of a choice does not grow with the fleet.
func (b *Balancer) candidates() []*worker {
	if !b.largeFleet || len(b.workers) <= randomCandidates {
		return b.workers
	}
	b.candidateBuffer = append(b.candidateBuffer[:0], b.ownedColdWorkers()...)
	for _, w := range b.recentEvidence {
		if w != nil && w.State == Serving && !slices.Contains(b.candidateBuffer, w) {
			b.candidateBuffer = append(b.candidateBuffer, w)
		}
	}
	for range randomCandidates {
		b.candidateBuffer = append(b.candidateBuffer, b.workers[b.rng.IntN(len(b.workers))])
	}
	return b.candidateBuffer
}

// selectWorker returns the worker with room that has the lowest cost: the expected run time, plus the price
// of another zone. A random factor of up to 2% breaks ties, so that dispatchers with the same information
// do not all choose the same worker. With allowOvercommit it also considers workers without known room
// that have no attempt waiting. It returns nil if there is no such worker.
func (b *Balancer) selectWorker(j *job, allowOvercommit bool) *worker {
	if !b.canSend(j) {
		return nil
	}
	var best *worker
	lowest := math.Inf(1)
	for _, w := range b.candidates() {
		if !b.available(w) || slices.Contains(b.reserved, w) {
			continue
		}
		free := b.hasRoom(j, w)
		overcommit := allowOvercommit && w.notStarted == 0 && w.peerSlots <= w.peerRunningSlots &&
			b.now >= w.nextOvercommit
		if !free && !overcommit || !b.eligible(j, w) {
			continue
		}
		cost := b.expectedWork(j) * b.slowness(w) * (1 + 0.02*b.rng.Float64())
		if j.Key != "" && !w.hasKey(j.Key) {
			cost *= math.Exp(max(0, b.newKeyLogRatio-b.knownKeyLogRatio))
		}
		if w.Zone != b.settings.Zone && w.Zone >= 0 {
			cost += 2*b.startLag(w) + crossZoneFactor*b.settings.CrossZonePrice*b.expectedWork(j)
		}
		if b.largeFleet {
			cost += (1 - b.freeSlotProbability(w)) * b.meanRun()
		} else if !free { // prefer a worker whose size is small for its weight: it may be underestimated
			cost += b.meanRun() * min(1, b.estimatedSlots(w)/max(1, b.slotsPerWeight*w.Weight))
		}
		if j.ranAt(w) {
			cost += lastResortCost
		}
		if cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

// send starts an attempt of a job at a worker. It is the only function that calls Host.Send.
func (b *Balancer) send(j *job, w *worker) {
	if !b.eligible(j, w) {
		return
	}
	free := b.hasRoom(j, w)
	a := &attempt{job: j, number: len(j.attempts), worker: w, sentAt: b.now, startedAt: b.now, eventAt: b.now}
	j.attempts = append(j.attempts, a)
	a.keyKnown = w.hasKey(j.Key)
	w.addKey(j.Key)
	j.inFlight++
	w.usedSlots += j.Slots
	w.usedMemory += j.Memory
	if w.evidence != noEvidence && b.now-w.evidenceAt < toDuration(b.meanRun()/2) {
		a.evidence = w.evidence
	}
	w.setEvidence(noEvidence, b.freeSlotProbability(w)*(1-1/(1+b.estimatedSlots(w))), b.now)
	if b.settings.ReportsStart {
		w.notStarted++
		b.starting = append(b.starting, a)
	} else {
		a.started = true
		w.runningSlots += j.Slots
	}
	if b.isCold(w) {
		w.coldSends = append(w.coldSends, coldSend{b.now, b.expectedWork(j) * b.slowness(w)})
	}
	if !free {
		a.overcommit = true
		w.nextOvercommit = b.now + toDuration(b.meanRun())
		// Only an overcommit shows that other dispatchers have released the slots of a worker.
		// When overcommits were several mean runs apart, the fleet stood idle while jobs were
		// refused. Each worker has at most one overcommit.
		b.nextOvercommit = b.now + toDuration(b.meanRun()/16*math.Pow(2, float64(b.overcommits)))
		b.overcommits = min(b.overcommits+1, maxOvercommitDoublings)
	}
	if j.inFlight == 1 {
		b.running = append(b.running, j)
	}
	if len(j.attempts) == 1 && j.prior == nil && b.budget != nil {
		b.budget.CountFirstSend()
	}
	b.host.Send(j.ID, w.ID, 0)
	b.markDirty(w)
}

// reserveWorker reserves a worker for a job: of those large enough, the one with the most free slots.
func (b *Balancer) reserveWorker(j *job) {
	var best *worker
	for _, w := range b.workers {
		if b.estimatedSlots(w) >= j.Slots && !slices.Contains(b.reserved, w) && b.eligible(j, w) &&
			(best == nil || b.freeSlots(w) > b.freeSlots(best)) {
			best = w
		}
	}
	if best != nil {
		b.reserved = append(b.reserved, best)
	}
}
