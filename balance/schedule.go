package balance

import (
	"math"
	"slices"
	"time"
)

// This file holds the scheduling step.

// schedule runs a scheduling step. Each event that may have added jobs or free slots ends with it.
func (b *Balancer) schedule() {
	b.expireJobs()
	b.detectCommonCause()
	b.checkLateStarts()
	for b.copyOverdueJob() {
	}
	b.sendQueued()
	if len(b.queue) > 0 && b.now >= b.queue[0].waitForEvidenceUntil {
		b.shedQueue()
	}
	b.sendPeerUpdates()
	b.armTimer()
}

// expireJobs answers queued jobs whose client is about to give up. It also repeats an overdue request for
// the membership list.
func (b *Balancer) expireJobs() {
	if b.nextMembersRequest > 0 && b.now >= b.nextMembersRequest {
		b.requestMembers()
	}
	if b.now < b.nextExpiry {
		return
	}
	b.nextExpiry = math.MaxInt64
	for _, j := range slices.Clone(b.queue) {
		if b.now >= j.expiresAt-answerMargin {
			b.log("expired", "job %d not served: its client's timeout is over", j.ID)
			b.answerUnserved(j)
		} else {
			b.nextExpiry = min(b.nextExpiry, j.expiresAt-answerMargin)
		}
	}
}

// shedQueue refuses the jobs with the lowest worth density while the queue is too long. Under overload,
// first-come, first-served order would serve every job just too late. A shed job is refused at once, with
// the predicted wait as the retry delay: if it stayed in the queue, its client would wait in vain until it
// gives up. A job that may have run is not shed, since its client must not be invited to retry.
func (b *Balancer) shedQueue() {
	slots := 1.0
	for _, w := range b.workers {
		slots += w.usedSlots
	}
	workAhead := 0.0
	for i := 0; i < len(b.queue); i++ {
		j := b.queue[i]
		wait := workAhead * b.fleetSlowness / slots
		if b.onTimeProbability(j, waitFactor*wait) >= likelyOnTime || j.firstThatRan() != nil {
			workAhead += b.expectedWork(j)
			continue
		}
		victim, lowest := i, b.worthDensity(j, 0)
		for k, earlier := range b.queue[:i] {
			if density := b.worthDensity(earlier, 0); density < lowest && earlier.firstThatRan() == nil {
				victim, lowest = k, density
			}
		}
		shed := b.queue[victim]
		b.log("shed", "job %d shed: the predicted queue wait of %.2f s is too long", shed.ID, wait)
		b.retryAfter = toDuration(wait)
		b.answerUnserved(shed)
		b.retryAfter = 0
		i-- // the queue is now shorter by one
		if victim <= i {
			workAhead -= b.expectedWork(shed)
			i-- // consider j again, with less work ahead
		}
	}
}

// sendQueued sends the first jobs of the queue while there is room.
func (b *Balancer) sendQueued() {
	b.reserved = b.reserved[:0]
	for i := 0; i < min(len(b.queue), queueLookahead); {
		j := b.queue[i]
		if j.class.LateWorth == 0 && b.onTimeProbability(j, 0) < minOnTimeProbability {
			// A job that cannot be in time would only make the next one late too.
			b.log("late", "job %d refused: it can no longer be in time", j.ID)
			b.answerUnserved(j)
			continue
		}
		w := b.selectWorker(j, false)
		if w == nil && b.now >= b.nextOvercommit && b.now >= j.waitForEvidenceUntil {
			w = b.selectWorker(j, true)
		}
		if w == nil {
			if !j.restricted() && j.Slots <= 1 && b.now >= j.waitForEvidenceUntil {
				return
			}
			// The job is limited to some workers, needs several slots or waits for evidence of a
			// free slot. Other jobs may overtake it, but not at the worker that is most likely to
			// fit a large job next, or it would wait forever.
			if j.Slots > 1 {
				b.reserveWorker(j)
			}
			i++
			continue
		}
		b.queue = slices.Delete(b.queue, i, i+1)
		j.queued = false
		b.send(j, w)
	}
}

// armTimer sets a timer for the earliest time at which a step could have an effect without another event.
func (b *Balancer) armTimer() {
	at := b.nextExpiry
	consider := func(t time.Duration) {
		if t > b.now {
			at = min(at, t)
		}
	}
	if b.nextMembersRequest > 0 {
		consider(b.nextMembersRequest)
	}
	if len(b.dirtyWorkers) > 0 {
		consider(b.nextPeerUpdate)
	}
	if b.settings.AllowPeerMessages && b.settings.ProgressInterval == 0 && len(b.running) > 0 {
		// Without heartbeats during a long job, peers would assume that this dispatcher has ended.
		consider(b.nextHeartbeat + heartbeatInterval)
	}
	for _, j := range b.queue[:min(len(b.queue), queueLookahead)] {
		consider(j.waitForEvidenceUntil)
	}
	for _, a := range b.starting {
		if !a.startOverdue {
			consider(a.sentAt + b.startTimeout(a))
		} else if b.largeFleet {
			consider(b.now + toDuration(b.meanRun()/8))
		}
	}
	if len(b.queue) > 0 {
		consider(b.now + toDuration(b.meanRun()/8))
		consider(b.nextOvercommit)
		if !b.largeFleet {
			for _, w := range b.workers {
				consider(w.heldUntil)
				consider(w.nextOvercommit)
			}
		}
	}
	if at < b.timerAt && at < math.MaxInt64 {
		b.timerAt = at
		b.timerToken++
		b.host.SetTimer(max(at-b.now, b.settings.Tick), b.timerToken)
	}
}
