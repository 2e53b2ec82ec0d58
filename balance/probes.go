package balance

import "time"

// This file holds the probes of workers and the exchange of evidence of free slots between dispatchers.

// probeLeastRecent probes the worker whose last probe is the longest ago.
func (b *Balancer) probeLeastRecent() {
	var best *worker
	for _, w := range b.workers {
		if w.State == Serving && !w.probing && (best == nil || w.probedAt < best.probedAt) {
			best = w
		}
	}
	if best != nil && b.now-best.probedAt > 20*b.settings.Tick {
		best.probing, best.probedAt = true, b.now
		b.host.Probe(best.ID)
	}
}

// probeRandom probes the load of random workers, so that a job need not be sent without evidence of a free
// slot. If probes are not allowed it asks random dispatchers for a worker with a free slot instead.
func (b *Balancer) probeRandom(j *job) {
	for range min(len(b.workers), probesPerRequest) {
		if !j.queued || len(b.queue) > 4 {
			return
		}
		if !b.settings.AllowProbes {
			b.host.SendToPeer(b.randomPeer(), []byte{askMessage})
			b.host.SendToPeer(b.randomPeer(), []byte{askMessage})
			continue
		}
		w := b.workers[b.rng.IntN(len(b.workers))]
		if w.State == Serving && !w.probing && b.now-w.probedAt > 10*b.settings.Tick && b.now >= w.heldUntil {
			w.probing, w.probedAt = true, b.now
			b.host.Probe(w.ID)
		}
	}
}

// randomPeer returns the position of a random other dispatcher.
func (b *Balancer) randomPeer() int {
	return (b.settings.Position + 1 + b.rng.IntN(b.settings.FleetSize-1)) % b.settings.FleetSize
}

// ProbeDone handles the result of a probe.
func (b *Balancer) ProbeDone(now time.Duration, id WorkerID, status Status, _ time.Duration,
	report LoadReport) {
	b.now = now
	w := b.byID[id]
	if w == nil {
		return
	}
	w.probing = false
	switch status {
	case StatusUnreachable, StatusReset:
		b.recordUnreachable(w)
	case StatusTimeout: // the probe waits in the worker's queue as a job does, so no slot is free
		b.recordFull(w)
	case StatusOK:
		b.applyReport(w, report)
		b.schedule()
	}
}

// grantSlot answers another dispatcher's askMessage with the worker that most likely has a free slot. The
// evidence is for one slot, so this dispatcher drops it.
func (b *Balancer) grantSlot(to int) {
	var best *worker
	for _, w := range b.recentEvidence {
		if w == nil || w.evidence == noEvidence || !b.available(w) {
			continue
		}
		if best == nil || b.freeSlotProbability(w) > b.freeSlotProbability(best) {
			best = w
		}
	}
	if best != nil && b.freeSlotProbability(best) >= 0.5 && len(b.queue) == 0 {
		best.setEvidence(noEvidence, 0, b.now)
		id := best.ID
		b.host.SendToPeer(to, []byte{slotMessage, byte(id >> 24), byte(id >> 16), byte(id >> 8), byte(id), 0})
	}
}
