// This file holds the event methods of the dispatch policy. The types of its interface are in api.go.
//
// The policy implements AdaRep from Joshi and Kaushal, "Synergy via Redundancy". Jobs wait in order of
// arrival. When a worker has a free slot, a running job that has passed its threshold is copied to it;
// if there is none, the first job of the queue is sent. The first copy to finish wins and the others
// are cancelled. Comments in the code say what the paper leaves open and where its assumptions fail.

package balance

import (
	"math"
	"time"
)

const (
	// Speed samples kept for each kind of worker: recent ones only, and few enough to search quickly.
	maxSamples = 48
	// Half-life of the samples of a worker's speed.
	speedHalfLife = 10 * time.Second
	// Interval at which dispatchers repeat the slots that they use, in case a message was lost.
	heartbeatInterval = 2 * time.Second
	// Delay after the first failed request for the membership list; it doubles with each failure.
	firstMembersRetry = 250 * time.Millisecond
	// Above this number of dispatchers a fleet is large: they do not exchange messages about the slots that
	// they use, and each chooses among a sample of the workers.
	maxSmallFleet = 24
	// Workers probed for each request in a large fleet.
	probesPerRequest = 2
	// How long a job of a large fleet waits for the answers to its probes, in ticks.
	probeWaitTicks = 3
	// How long it waits for other dispatchers to name a worker with a free slot, in ticks.
	evidenceWaitTicks = 15
	// Workers drawn at random as candidates for a job in a large fleet.
	randomCandidates = 16
	// Queued jobs considered when those before them fit no free slot.
	queueLookahead = 8
	// A job that is less likely than this to be in time is not worth a slot.
	minOnTimeProbability = 0.05
	// Factor on the price of another zone in selectWorker: a faster run alone seldom makes an answer
	// timely, so it must gain several times what the crossing costs.
	crossZoneFactor = 5
	// The queue is too long for a job that is less likely than this to be in time.
	likelyOnTime = 0.75
	// Factor on a predicted wait: some jobs ahead in the queue will leave it unserved.
	waitFactor = 0.9
	// Initial estimate of the share of sends that find a free slot.
	initialFreeSlotRate = 0.8
	// Shortest retry delay for a refused client.
	minRetryAfter = 50 * time.Millisecond
	// Smoothed error rate above which a worker is held back.
	maxErrorRate = 0.4
	// The delay between overcommits doubles at most this often; see Balancer.send.
	maxOvercommitDoublings = 2
	// Cost of a worker that is chosen only if there is no other.
	lastResortCost = 1e6
	// How long before the client's timeout an unserved job is answered.
	answerMargin = time.Millisecond
)

// SubmitJob adds a new job.
func (b *Balancer) SubmitJob(now time.Duration, submitted Job) {
	b.now = now
	if submitted.Class < 0 || submitted.Class >= len(b.classes) || b.jobs[submitted.ID] != nil {
		return
	}
	c := &b.classes[submitted.Class]
	j := &job{
		Job:       submitted,
		class:     c,
		expiresAt: now + submitted.ClientTimeout,
		arrivedAt: now - max(0, c.Deadline-submitted.ClientTimeout),
	}
	if prior := submitted.PriorAttempt; prior != nil { // it restricts retries as one of this Balancer would
		j.prior = &attempt{
			job:        j,
			number:     -1,
			worker:     &worker{Member: Member{Zone: prior.Zone, Cell: prior.Cell}},
			sentAt:     now - prior.Age,
			done:       true,
			mayHaveRun: true,
		}
	}
	budgeted := false
	if b.budget != nil && submitted.PriorAttempt == nil { // a job that may have run was admitted before
		ok, wait := true, time.Duration(0)
		if budgeted, ok, wait = b.budget.Admit(submitted.Tenant, b.expectedWork(j)); !ok {
			// The job has not been sent, so the client may retry.
			b.host.Refuse(submitted.ID, min(max(wait, minRetryAfter), b.settings.MaxRetryAfter))
			return
		}
	}
	b.jobs[submitted.ID] = j
	j.worth = c.Worth
	if !budgeted { // a job admitted by the fleet's budget is within the tenant's quota
		j.worth *= b.quotaFactor(submitted.Tenant)
	}
	b.enqueue(j)
	switch {
	case b.largeFleet && (b.settings.AllowProbes || b.settings.AllowPeerMessages && !j.repeatableAnywhere()):
		j.waitForEvidenceUntil = now + probeWaitTicks*b.settings.Tick
		if !b.settings.AllowProbes {
			j.waitForEvidenceUntil = now + evidenceWaitTicks*b.settings.Tick
		}
		b.schedule()
		b.probeRandom(j)
		return
	case b.settings.AllowProbes:
		b.probeLeastRecent()
	}
	b.schedule()
}

// TimerFired handles a timer that was set by Host.SetTimer. It ignores all but the latest timer.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	b.now = now
	if token != b.timerToken {
		return
	}
	b.timerAt = math.MaxInt64
	b.schedule()
}

// ClientGone ends a job whose client has left.
func (b *Balancer) ClientGone(now time.Duration, id JobID) {
	b.now = now
	if j := b.jobs[id]; j != nil && !j.finished {
		b.finishJob(j)
		b.schedule()
	}
}

// StreamStarted handles the start of a streamed answer. The client then reads the answer of that
// attempt, so the others are cancelled and no copies follow.
func (b *Balancer) StreamStarted(now time.Duration, id JobID, number int) {
	b.now = now
	j := b.jobs[id]
	if j == nil || j.finished || number < 0 || number >= len(j.attempts) {
		return
	}
	j.streaming = true
	b.cancelOthers(j, j.attempts[number])
	b.schedule()
}

// AttemptEvent handles an event that a worker reports during an attempt. progress is the completed
// fraction of the job.
func (b *Balancer) AttemptEvent(now time.Duration, id JobID, number int, kind EventKind, progress float64) {
	b.now = now
	j := b.jobs[id]
	if j == nil || number < 0 || number >= len(j.attempts) || j.attempts[number].done {
		return
	}
	a := j.attempts[number]
	a.eventAt = now
	if !a.started {
		b.recordStart(j, a)
	}
	if kind == EventProgress && progress > a.progress && progress <= 1 {
		a.progress = progress
		if !a.sampled && progress > 0.02 {
			b.recordRun(j, a, (now-a.startedAt).Seconds()/progress)
		}
	}
	b.schedule()
}

// recordStart handles the start of an attempt.
func (b *Balancer) recordStart(j *job, a *attempt) {
	w, late := a.worker, a.startOverdue
	b.removeStarting(a)
	a.started, a.startedAt = true, b.now
	if !late {
		b.recordFreeSlot(a, 1)
	}
	w.runningSlots += j.Slots
	if w.errorRate <= maxErrorRate { // a start shows that the worker is reachable, not that its jobs succeed
		w.timesHeld = 0
	}
	lag := (b.now - a.sentAt).Seconds()
	if b.largeFleet && !j.finished { // the limit grows and shrinks like a window in congestion control
		if late && b.onTimeProbability(j, 0) < likelyOnTime {
			b.waitingLimit *= 0.5
		} else {
			b.waitingLimit = min(b.waitingLimit+1.0/128, 16)
		}
	}
	// A shorter lag counts at once, a longer one slowly.
	w.startLag = min(lag, w.startLag+(lag-w.startLag)/64)
	w.group.startLag = min(lag, w.group.startLag+(lag-w.group.startLag)/64)
	b.fleetStartLag = min(lag, b.fleetStartLag+(lag-b.fleetStartLag)/64)
	if seen := w.runningSlots + w.peerRunningSlots; seen > w.slots {
		b.setSlots(w, seen)
	}
	b.markDirty(w)
	if a.overcommit && !late {
		w.otherSlots = max(0, min(w.otherSlots, b.estimatedSlots(w)-w.runningSlots))
		b.overcommits, b.nextOvercommit = 0, b.now
	}
	if j.finished {
		return
	}
	for _, other := range j.attempts { // the first attempt to start wins over copies that have not started
		if other != a && !other.done && !other.started {
			b.cancelAttempt(j, other)
		}
	}
}

// AttemptDone handles the result of an attempt.
func (b *Balancer) AttemptDone(now time.Duration, result AttemptResult) {
	b.now = now
	j := b.jobs[result.Job]
	if j == nil || result.Attempt < 0 || result.Attempt >= len(j.attempts) ||
		j.attempts[result.Attempt].done {
		return
	}
	a := j.attempts[result.Attempt]
	w := a.worker
	b.releaseAttempt(j, a)
	j.invalid = j.invalid || result.Status == StatusInvalid
	a.mayHaveRun = !result.Status.NeverRan()
	a.unreachable = result.Status == StatusUnreachable
	b.recordResult(j, a, result)
	b.applyReport(w, result.Report)
	// The load report was made before this slot came free, so it must not hide the free slot, unless it
	// shows several.
	if b.largeFleet && a.started && result.Status == StatusOK &&
		(w.evidence != evidenceManyFree || w.evidenceAt != now) {
		b.addEvidence(w, evidenceJobEnded)
	}
	switch {
	case result.JobDone && !j.finished:
		b.finishJob(j)
	case !j.finished && j.inFlight == 0:
		b.removeRunning(j)
		b.retryOrAnswer(j)
	}
	if j.finished && j.inFlight == 0 {
		delete(b.jobs, j.ID)
	}
	b.schedule()
}

// recordResult updates the estimates of a worker's speed from a finished attempt and those of its
// health from the status.
func (b *Balancer) recordResult(j *job, a *attempt, result AttemptResult) {
	w := a.worker
	switch result.Status {
	case StatusOK:
		if !a.started {
			a.startedAt = a.sentAt
		}
		run := (b.now - a.startedAt).Seconds()
		work := run / b.slowness(w)
		if j.ExpectedWork > 0 {
			work = j.ExpectedWork.Seconds()
		}
		elapsed := (b.now - j.arrivedAt).Seconds()
		if result.JobDone && !j.finished && elapsed <= j.class.Target.Seconds()+j.class.Stretch*work {
			j.class.onTimeWeight += b.countWeight(j)
		}
		b.recordRun(j, a, run)
		w.errorRate -= w.errorRate / 4
		w.timesHeld = 0
	case StatusError:
		// A worker that fails fast has free slots and would attract more and more jobs.
		w.errorRate += (1 - w.errorRate) / 4
		if w.errorRate > maxErrorRate {
			b.holdBack(w, b.meanRun(), "too many errors")
		}
	case StatusInvalid:
		// The job is at fault: if its worker were held back for it, a few bad clients could
		// disable a healthy fleet. A worker that rejects nearly every job is itself at fault.
		w.errorRate += (1 - w.errorRate) / 16
		if w.errorRate > maxErrorRate {
			b.holdBack(w, b.meanRun(), "too many jobs rejected as invalid")
		}
	case StatusFull:
		if b.largeFleet {
			// -1 lowers the probability for longer than the 0 of a late start.
			w.setEvidence(noEvidence, -1, b.now)
		} else {
			b.setSlots(w, min(w.slots, w.usedSlots))
		}
		w.nextOvercommit = b.now + toDuration(b.meanRun()/2)
	case StatusUnreachable, StatusReset:
		b.recordUnreachable(w)
	case StatusTimeout:
		if !a.started {
			b.holdBack(w, b.meanRun(), "a job timed out before its start")
		}
	}
}

// recordUnreachable handles a worker that could not be reached or whose connection was lost. In a large
// fleet a dispatcher meets each worker at most once, so the first few failures must lower the expectation
// for the whole group, or the loss of a zone would go unnoticed.
func (b *Balancer) recordUnreachable(w *worker) {
	b.holdBack(w, b.settings.ConnectTimeout.Seconds(), "unreachable or connection lost")
	if b.largeFleet {
		w.group.freeSlotRate -= w.group.freeSlotRate / 4
		w.setEvidence(noEvidence, 0, b.now)
	}
}

// holdBack sends a suspect worker no ordinary jobs for base seconds. The time doubles with each consecutive
// hold, up to 16 times base.
func (b *Balancer) holdBack(w *worker, base float64, reason string) {
	if b.now < w.heldUntil {
		return
	}
	w.heldUntil = b.now + toDuration(base*math.Pow(2, float64(min(w.timesHeld, 4))))
	w.timesHeld++
	b.lastHoldEnd = max(b.lastHoldEnd, w.heldUntil)
	b.log(reason, "worker %d held back until %.3f: %s", w.ID, w.heldUntil.Seconds(), reason)
}
